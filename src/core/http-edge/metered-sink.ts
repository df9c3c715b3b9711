import type { Clock } from '../clock';
import type { Metrics } from '../metrics';
import type { ResponseSink } from '../serving';

/** What is noted of an answer as it passes. */
export interface MeteredSinkOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly service: string;
  readonly startedAtMs: number;
}

/** A sink that notes when an answer began and ended. */
export function createMeteredSink(sink: ResponseSink, options: MeteredSinkOptions): ResponseSink {
  const { clock, metrics, service, startedAtMs } = options;
  let firstByteMs: number | undefined;
  return {
    get headSent() {
      return sink.headSent;
    },
    sendHead: (head) => sink.sendHead(head),
    sendChunk(chunk) {
      firstByteMs ??= clock.monotonicMs() - startedAtMs;
      return sink.sendChunk(chunk);
    },
    end() {
      const totalMs = clock.monotonicMs() - startedAtMs;
      metrics.answered(service, firstByteMs ?? totalMs, totalMs);
      sink.end();
    },
    abort(reason) {
      metrics.cutShort(service);
      sink.abort(reason);
    },
  };
}
