import { createLogger, format, transports } from 'winston';
import type { Logger as WinstonLogger } from 'winston';
import { createBatchingStream } from './batching-stream';
import type { EventFields, EventLevel, Logger } from '../core/events';

function wrap(winston: WinstonLogger, labels: EventFields): Logger {
  return {
    event(definition, fields = {}) {
      winston.log({
        level: definition.level,
        message: definition.text,
        event: definition.id,
        name: definition.name,
        ...labels,
        ...fields,
      });
    },
    with: (more) => wrap(winston, { ...labels, ...more }),
  };
}

/** JSON lines on standard output, where log collectors read. */
export function createWinstonLogger(level: EventLevel, labels: EventFields = {}): Logger {
  const stream = createBatchingStream((text) => process.stdout.write(text));
  const winston = createLogger({
    level,
    format: format.combine(format.timestamp(), format.json()),
    transports: [new transports.Stream({ stream, eol: '\n' })],
  });
  return wrap(winston, labels);
}
