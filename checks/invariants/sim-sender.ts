import type { Evidence } from '../../src/core/outcomes';
import { REFUSALS, RefusalError } from '../../src/core/refusals';
import type { GatewayRequest, ResponseSink } from '../../src/core/serving';
import { answerWith } from '../../src/testing/sample-request';
import { NOT_RUN_STATUS } from './order-server';
import type { OrderServer, ServerReply } from './order-server';
import { sleep } from './process';
import type { SimProcess } from './process';
import type { World } from './world';

/** Sends a request to a fake server, as the real sender does: connect, ask the guard, write, wait. */
export type SimSender = (
  server: OrderServer,
  request: GatewayRequest,
  sink: ResponseSink,
  lastCheck: () => void,
) => Promise<void>;

/** Records of the sender that the checks read. */
export interface FirstByte {
  readonly idempotencyKey: string;
  readonly toRegion: string;
  readonly atMs: number;
}

const CONNECT_TIMEOUT_MS = 200;
const ANSWER_TIMEOUT_MS = 1_500;

type End = ServerReply | { readonly kind: 'timeout' };

function failure(detail: string, evidence: Evidence): RefusalError {
  return new RefusalError(REFUSALS.serverFailed, { detail, step: 'sim-send', evidence });
}

/** Interprets a reply; the mutants replace it with a function that infers too much. */
export type ReadEnd = (end: Exclude<End, { kind: 'answer' }>) => Evidence;

/** The interpretation of the real sender. */
export const readEnd: ReadEnd = (end) => {
  switch (end.kind) {
    case 'refused':
      return { kind: 'refusedByServer', declaredNotRun: end.status === NOT_RUN_STATUS };
    case 'reset':
      return { kind: 'lostAfterSending', cause: 'reset' };
    case 'timeout':
      return { kind: 'lostAfterSending', cause: 'timeout' };
    default:
      return end satisfies never;
  }
};

/** Creates the sender of a process. */
export function createSimSender(
  world: World,
  process: SimProcess,
  noteFirstByte: (byte: FirstByte) => void,
  read: ReadEnd,
): SimSender {
  const { clock } = process;
  const within = (timeoutMs: number, onTimeout: () => void) =>
    clock.schedule(clock.monotonicMs() + timeoutMs, onTimeout);

  const connect = (server: OrderServer): Promise<boolean> =>
    new Promise((resolve) => {
      within(CONNECT_TIMEOUT_MS, () => resolve(false));
      if (world.chance(world.mood.sleepy)) {
        world.note(`${process.name} is stopped while it connects`);
        sleep(world.clock, process, world.between(1_000, 6_000));
      }
      world.carry(process, server.process, () => {
        world.carry(server.process, process, () => resolve(true));
      });
    });

  const exchange = (server: OrderServer, request: GatewayRequest, key: string): Promise<End> =>
    new Promise((resolve) => {
      within(ANSWER_TIMEOUT_MS, () => resolve({ kind: 'timeout' }));
      const reset = () => {
        // If a message is lost, the sender sees a reset or nothing.
        if (world.chance(0.5)) within(world.between(1, 100), () => resolve({ kind: 'reset' }));
      };
      const body = Buffer.from(request.body).toString('utf8');
      const onRequest = () =>
        server.receive(key, body, (reply) => {
          world.carry(server.process, process, () => resolve(reply), { lost: reset });
        });
      world.carry(process, server.process, onRequest, { lost: reset });
    });

  return async (server, request, sink, lastCheck) => {
    if (!(await connect(server))) throw failure('No connection.', { kind: 'neverSent' });
    lastCheck();
    request.guard?.beginSend();
    const key = request.guard?.idempotencyKey ?? '';
    const atMs = clock.monotonicMs();
    noteFirstByte({ idempotencyKey: key, toRegion: server.process.region, atMs });
    world.note(`${process.name} sends ${key} to ${server.process.name}`);
    const end = await exchange(server, request, key);
    if (end.kind === 'answer') {
      await answerWith(sink, end.text);
      return;
    }
    const refusal = failure(end.kind, read(end));
    request.guard?.sendFailed(refusal.evidence);
    throw refusal;
  };
}
