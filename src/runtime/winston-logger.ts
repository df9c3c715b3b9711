import { createLogger, format, transports } from 'winston';
import type { Logger as WinstonLogger } from 'winston';
import { createBatchingStream } from './batching-stream';
import { openStandardOutput } from './standard-output';
import type { TextSink } from './standard-output';
import type { EventDefinition, EventFields, EventLevel, Logger } from '../core/events';
import { LOG_FLOW_EVENTS, createLogValve } from '../core/log-flow';
import type { LogValve } from '../core/log-flow';

function wrap(winston: WinstonLogger, valve: LogValve, labels: EventFields): Logger {
  const write = (definition: EventDefinition, fields: EventFields): void => {
    winston.log({
      level: definition.level,
      message: definition.text,
      event: definition.id,
      name: definition.name,
      ...labels,
      ...fields,
    });
  };
  return {
    event(definition, fields = {}) {
      const dropped = valve.takeAccount();
      if (dropped !== undefined) write(LOG_FLOW_EVENTS.linesDropped, { ...dropped });
      if (valve.lets(definition.level)) write(definition, fields);
    },
    with: (more) => wrap(winston, valve, { ...labels, ...more }),
  };
}

/** JSON lines on standard output, where log collectors read; lines are left out rather than waited for. */
export function createWinstonLogger(
  level: EventLevel,
  labels: EventFields = {},
  sink: TextSink = openStandardOutput(),
): Logger {
  const stream = createBatchingStream(sink);
  const winston = createLogger({
    level,
    format: format.combine(format.timestamp(), format.json()),
    transports: [new transports.Stream({ stream, eol: '\n' })],
  });
  return wrap(winston, createLogValve(sink.waitingBytes), labels);
}
