import type { EventDefinition, EventFields, Logger } from '../core/events';

/** One line that was logged. */
export interface LoggedEvent {
  definition: EventDefinition;
  fields: EventFields;
}

/** A logger that keeps its lines for a test to read. */
export interface MemoryLogger extends Logger {
  lines: LoggedEvent[];
  /** The lines of one kind of event. */
  of(definition: EventDefinition): LoggedEvent[];
}

function wrap(lines: LoggedEvent[], labels: EventFields): MemoryLogger {
  return {
    lines,
    of: (definition) => lines.filter((line) => line.definition === definition),
    event(definition, fields = {}) {
      lines.push({ definition, fields: { ...labels, ...fields } });
    },
    with: (more) => wrap(lines, { ...labels, ...more }),
  };
}

/** An empty memory logger. */
export function createMemoryLogger(): MemoryLogger {
  return wrap([], {});
}
