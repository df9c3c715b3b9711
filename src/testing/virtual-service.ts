import type { ConfigurationService, ServiceValue } from '../core/configuration-sync';
import type { Clock } from '../core/clock';
import type { NetworkPlace } from './virtual-network';

/** The platform's configuration service on virtual time, with its moods and a count of what it is asked. */
export interface VirtualConfigurationService {
  publish(rootText: string, documents?: ReadonlyMap<string, string>): void;
  /** `stale` goes on showing what stood there when it became so. */
  setMood(mood: 'up' | 'down' | 'stale'): void;
  /** Places that can't reach it. */
  setUnreachable(isCutOff: (place: NetworkPlace) => boolean): void;
  /** The service as one instance reaches it. */
  openFor(clock: Clock, place: NetworkPlace): ConfigurationService;
  /** Reads so far, a waiting watch counted as one. */
  readCount(): number;
  /** Most reads within any whole second. */
  peakReadsPerSecond(): number;
  bytesRead(): number;
}

const LATENCY_MS = 3;
const WATCH_MS = 30_000;

/** The service, empty. */
export function createVirtualConfigurationService(clock: Clock): VirtualConfigurationService {
  const documents = new Map<string, string>();
  const watchers = new Set<() => void>();
  const readsBySecond = new Map<number, number>();
  let root: ServiceValue = { index: '1', rootText: '' };
  let shown = root;
  let mood: 'up' | 'down' | 'stale' = 'up';
  let isCutOff: (place: NetworkPlace) => boolean = () => false;
  let reads = 0;
  let bytes = 0;

  const countRead = () => {
    reads += 1;
    const second = Math.floor(clock.monotonicMs() / 1_000);
    readsBySecond.set(second, (readsBySecond.get(second) ?? 0) + 1);
  };
  const wake = () => [...watchers].forEach((watcher) => watcher());

  const openFor = (own: Clock, place: NetworkPlace): ConfigurationService => {
    const rest = (ms: number) =>
      new Promise<void>((resolve) => {
        own.schedule(own.monotonicMs() + ms, resolve);
      });
    const enter = async () => {
      countRead();
      await rest(LATENCY_MS);
      if (mood === 'down' || isCutOff(place)) throw new Error('service unavailable');
    };
    const untilChange = (atMs: number, signal: AbortSignal) =>
      new Promise<void>((resolve) => {
        const go = () => {
          watchers.delete(go);
          signal.removeEventListener('abort', go);
          resolve();
        };
        watchers.add(go);
        own.schedule(atMs, go);
        signal.addEventListener('abort', go, { once: true });
      });
    const answer = (): ServiceValue => {
      if (shown.rootText === '') throw new Error('status 404');
      bytes += shown.rootText.length;
      return shown;
    };

    return {
      async watch(index, signal) {
        const endsAtMs = own.monotonicMs() + WATCH_MS;
        await enter();
        while (shown.index === index && own.monotonicMs() < endsAtMs && !signal.aborted) {
          await untilChange(endsAtMs, signal);
          if (mood === 'down' || isCutOff(place)) throw new Error('service unavailable');
        }
        await rest(LATENCY_MS);
        return answer();
      },
      async readRoot() {
        await enter();
        return answer();
      },
      async readDocument(hash) {
        await enter();
        const text = documents.get(hash);
        if (text === undefined) throw new Error('status 404');
        bytes += text.length;
        return text;
      },
    };
  };

  return {
    publish(rootText, published = new Map()) {
      published.forEach((text, hash) => documents.set(hash, text));
      root = { index: String(Number(root.index) + 1), rootText };
      if (mood !== 'stale') shown = root;
      wake();
    },
    setMood(next) {
      mood = next;
      if (next !== 'stale') shown = root;
      wake();
    },
    setUnreachable(next) {
      isCutOff = next;
      wake();
    },
    openFor,
    readCount: () => reads,
    peakReadsPerSecond: () => Math.max(0, ...readsBySecond.values()),
    bytesRead: () => bytes,
  };
}
