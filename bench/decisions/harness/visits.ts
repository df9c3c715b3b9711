import type { EventQueue } from './event-queue';
import type { FakeServer, ServerJob } from './fake-server';
import { PEER_LOSS_DETECTION_MS } from './network';
import type { FakeNetwork } from './network';
import type { AttemptEnd, InstanceSpec, LoadRequest, Policy, WorkSize } from './types';

/** How a visit ends for whoever brought the request. */
export interface VisitListener {
  firstToken(): void;
  answered(region: string): void;
  refused(retryAtMs: number | undefined): void;
  /** The request is sent to a server for the first time, or again. */
  sent(): void;
  /** It has crashed the server that began it. */
  crashedServer(): void;
}

/** One request at one instance, from its coming until it is answered, refused or given up. */
export interface Visit {
  readonly request: LoadRequest;
  /** Sends an attempt; the server must stand in the instance's region. */
  send(serverId: string): void;
  forward(instanceId: string): void;
  refuse(retryAtMs: number | undefined): void;
  cancelAttempt(serverId: string): void;
  /** The deadline has passed or the caller has gone. */
  giveUp(): void;
}

/** Where a visit finds the rest of the run. */
export interface VisitWorld {
  readonly queue: EventQueue;
  readonly network: FakeNetwork;
  /** Time until a server that a request crashed is up again, ms. */
  readonly restartMs: number;
  server(serverId: string): { readonly region: string; readonly server: FakeServer };
  /** Brings a request to another instance, and returns its visit there. */
  visitPeer(
    instanceId: string,
    request: LoadRequest,
    work: WorkSize,
    listener: VisitListener,
  ): Visit;
  regionOf(instanceId: string): string;
}

interface OpenAttempt {
  readonly target: string;
  cancelRemote: () => void;
}

/** Opens a visit; the policy is told of each attempt's end. */
export function openVisit(
  world: VisitWorld,
  instance: InstanceSpec,
  policy: Policy,
  request: LoadRequest,
  work: WorkSize,
  listener: VisitListener,
): Visit {
  const { queue, network } = world;
  const attempts = new Set<OpenAttempt>();
  let isOpen = true;

  const mustBeOpen = (action: string) => {
    if (!isOpen) {
      throw new Error(`Policy called ${action} for the ended request ${request.requestId}`);
    }
  };

  /** Whether the attempt was still open. */
  const closeAttempt = (attempt: OpenAttempt): boolean => attempts.delete(attempt);

  const cancel = (attempt: OpenAttempt, serverId: string | undefined) => {
    if (!closeAttempt(attempt)) return;
    attempt.cancelRemote();
    policy.onAttemptEnd(request, { kind: 'cancelled', serverId });
  };

  const close = () => {
    isOpen = false;
    [...attempts].forEach((attempt) => cancel(attempt, attempt.target));
  };

  const fail = (attempt: OpenAttempt, end: AttemptEnd) => {
    if (closeAttempt(attempt) && isOpen) policy.onAttemptEnd(request, end);
  };

  const answer = (attempt: OpenAttempt, end: AttemptEnd, region: string) => {
    if (!closeAttempt(attempt) || !isOpen) return;
    close();
    policy.onAttemptEnd(request, end);
    listener.answered(region);
  };

  const send = (serverId: string) => {
    mustBeOpen('send');
    const { region, server } = world.server(serverId);
    if (region !== instance.region) throw new Error(`${serverId} is not in ${instance.region}`);
    const delayMs = network.delayMs(region, region);
    const sentAtMs = queue.nowMs();
    let firstTokenAtMs = sentAtMs;
    const back = (callback: () => void) => queue.after(delayMs, callback);
    const attempt: OpenAttempt = { target: serverId, cancelRemote: () => {} };
    const job: ServerJob = {
      work,
      priority: request.priority,
      onFirstToken: () =>
        back(() => {
          firstTokenAtMs = queue.nowMs();
          if (!attempts.has(attempt)) return;
          listener.firstToken();
          policy.onFirstToken?.(request, serverId);
        }),
      onAnswered: (usage) =>
        back(() => {
          const latencyMs = queue.nowMs() - sentAtMs;
          const firstTokenMs = firstTokenAtMs - sentAtMs;
          answer(
            attempt,
            { kind: 'answered', serverId, latencyMs, firstTokenMs, usage },
            instance.region,
          );
        }),
      onCrashed: () => back(() => fail(attempt, { kind: 'crashed', serverId })),
      onCrashingServer: () => {
        listener.crashedServer();
        queue.after(world.restartMs, () => server.recover());
      },
    };
    attempt.cancelRemote = () => server.cancel(job);
    attempts.add(attempt);
    listener.sent();
    queue.after(delayMs, () => {
      if (!attempts.has(attempt)) return;
      if (server.isUp) server.submit(job);
      else back(() => fail(attempt, { kind: 'unreachable', serverId }));
    });
  };

  const forward = (instanceId: string) => {
    mustBeOpen('forward');
    const region = world.regionOf(instanceId);
    if (request.fromInstanceId !== undefined) throw new Error('A forwarded request went on again');
    if (!request.allowedRegions.includes(region)) throw new Error(`${region} is not allowed`);
    const delayMs = network.delayMs(instance.region, region);
    const isParted = () => network.isParted(instance.region, region);
    const sentAtMs = queue.nowMs();
    let peerVisit: Visit | undefined;
    const attempt: OpenAttempt = {
      target: instanceId,
      cancelRemote: () => queue.after(delayMs, () => peerVisit?.giveUp()),
    };
    const loseLater = () =>
      queue.after(PEER_LOSS_DETECTION_MS, () => fail(attempt, { kind: 'peerLost', instanceId }));
    const back = (callback: () => void) => {
      if (isParted()) loseLater();
      else queue.after(delayMs, callback);
    };
    const peerListener: VisitListener = {
      firstToken: () =>
        back(() => {
          if (attempts.has(attempt)) listener.firstToken();
        }),
      answered: (servedIn) =>
        back(() => {
          const latencyMs = queue.nowMs() - sentAtMs;
          answer(attempt, { kind: 'answeredByPeer', instanceId, latencyMs }, servedIn);
        }),
      refused: (retryAtMs) =>
        back(() => fail(attempt, { kind: 'refusedByPeer', instanceId, retryAtMs })),
      sent: () => listener.sent(),
      crashedServer: () => listener.crashedServer(),
    };
    attempts.add(attempt);
    if (isParted()) {
      loseLater();
      return;
    }
    const forwarded = { ...request, fromInstanceId: instance.instanceId };
    queue.after(delayMs, () => {
      if (!attempts.has(attempt)) return;
      peerVisit = world.visitPeer(instanceId, forwarded, work, peerListener);
    });
  };

  return {
    request,
    send,
    forward,
    refuse(retryAtMs) {
      mustBeOpen('refuse');
      close();
      listener.refused(retryAtMs);
    },
    cancelAttempt(serverId) {
      const found = [...attempts].find(({ target }) => target === serverId);
      if (found !== undefined) cancel(found, serverId);
    },
    giveUp() {
      if (!isOpen) return;
      close();
      policy.onGone(request);
    },
  };
}
