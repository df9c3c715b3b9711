import type { Clock } from '../clock';
import type { Gossip, GossipEntry } from '../gossip';
import { parseConvictionPayload, serializeConvictionPayload } from './gossip-payload';
import type { Conviction } from './types';

/** Spreads convictions by gossip, which also reaches instances that start later or that a message did not reach. */
export interface ConvictionGossip extends Disposable {
  put(service: string, conviction: Conviction): void;
  /** Withdraws the convictions of this instance that no longer hold, so that instances that start do not learn of them. */
  withdrawReleased(): void;
}

/** Options of {@link createConvictionGossip}. */
export interface ConvictionGossipOptions {
  readonly clock: Pick<Clock, 'monotonicMs' | 'unixMs'>;
  readonly gossip: Gossip;
  /** Whether requests with a part are refused. */
  readonly isConvicted: (service: string, part: string) => boolean;
  /** Called with a conviction of the instance `origin`. */
  readonly onConviction: (service: string, conviction: Conviction, origin: string) => void;
}

const TOPIC = 'poisonFingerprints';
const KEY_PREFIX = 'part ';
/** Time for which a conviction is kept after its end, ms, so that a withdrawn one replaces it at all instances. */
const TTL_AFTER_END_MS = 60_000;

/** Creates the gossip of an instance; it listens until it is disposed of. */
export function createConvictionGossip(options: ConvictionGossipOptions): ConvictionGossip {
  const { clock, gossip, isConvicted, onConviction } = options;
  const spreadByPart = new Map<string, { service: string; conviction: Conviction }>();
  const unixMinusMonotonicMs = () => clock.unixMs() - clock.monotonicMs();

  const put = (service: string, { part, crashes, firstCrashAtMs, untilMs }: Conviction): void => {
    const offsetMs = unixMinusMonotonicMs();
    gossip.put({
      topic: TOPIC,
      key: `${KEY_PREFIX}${part}`,
      regions: undefined,
      expiresAtUnixMs: Math.round(untilMs + offsetMs) + TTL_AFTER_END_MS,
      payload: serializeConvictionPayload({
        service,
        crashes,
        firstCrashAtUnixMs: Math.round(firstCrashAtMs + offsetMs),
        untilUnixMs: Math.round(untilMs + offsetMs),
      }),
    });
  };

  const learn = ({ key, origin, payload }: GossipEntry): void => {
    const read = parseConvictionPayload(payload);
    if (read === undefined) return;
    const offsetMs = unixMinusMonotonicMs();
    const conviction: Conviction = {
      part: key.slice(KEY_PREFIX.length),
      crashes: read.crashes,
      firstCrashAtMs: read.firstCrashAtUnixMs - offsetMs,
      untilMs: read.untilUnixMs - offsetMs,
    };
    onConviction(read.service, conviction, origin);
  };
  const listening = gossip.onEntry(TOPIC, learn);

  return {
    put(service, conviction) {
      spreadByPart.set(conviction.part, { service, conviction });
      put(service, conviction);
    },
    withdrawReleased() {
      const nowMs = clock.monotonicMs();
      for (const [part, { service, conviction }] of spreadByPart) {
        if (!isConvicted(service, part)) {
          spreadByPart.delete(part);
          if (conviction.untilMs > nowMs) put(service, { ...conviction, untilMs: nowMs });
        }
      }
    },
    [Symbol.dispose]: () => listening[Symbol.dispose](),
  };
}
