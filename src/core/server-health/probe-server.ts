import { createBoundedAgent } from '../answers/bounded-agent';
import { errorText } from '../errors';
import { classifyHealthAnswer } from './classify-health-answer';
import type { CheckedServer, ServerObservation } from './types';

/** Runs one health check of a server. The promise never rejects. */
export type ServerProbe = (server: CheckedServer) => Promise<ServerObservation>;

/** Health checks over HTTP, with the connections that they use. */
export interface ServerProber extends AsyncDisposable {
  readonly probe: ServerProbe;
}

/** Maximum answer to a health check, bytes. */
const MAX_ANSWER_BYTES = 262_144;

/**
 * Creates a prober with its own connections. Each check opens a new one: a kept connection that a middlebox has
 * dropped would show a live server as dead, and one that still works would hide that no new one can be opened.
 */
export function createServerProber(): ServerProber {
  const agent = createBoundedAgent(MAX_ANSWER_BYTES, { pipelining: 0, keepAliveTimeout: 1 });
  return {
    async probe({ address, rules }) {
      try {
        const response = await agent.request({
          origin: `http://${address}`,
          path: rules.path,
          method: 'GET',
          signal: AbortSignal.timeout(rules.timeoutMs),
        });
        // The head decides; the rest is dropped.
        void response.body.dump();
        return classifyHealthAnswer(response.statusCode, response.headers);
      } catch (error) {
        return { kind: 'failed', reason: errorText(error) };
      }
    },
    [Symbol.asyncDispose]: () => agent.destroy(),
  };
}
