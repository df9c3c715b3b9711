import type { BrittleServers, SlotLease } from '../brittle-servers';
import type { ServerLimits } from '../server-limits';
import type { KnownServer } from '../server-registry';

/** Whether a request may be sent to a server now. */
export type ServerPermission =
  | { readonly kind: 'granted'; readonly slotLease: SlotLease }
  /** Denied by the limit of the server, for want of a slot, or since the server has gone out of use meanwhile. */
  | { readonly kind: 'denied'; readonly by: 'limit' | 'slot' | 'use' }
  /** The request needs no permission any more. */
  | { readonly kind: 'unneeded' };

/** Options of `askPermission`. */
export interface AskPermissionOptions {
  readonly limits: Pick<ServerLimits, 'requestPermit'>;
  readonly brittle: Pick<BrittleServers, 'requestSlot'>;
  /** Whether a server that was chosen a moment ago may still get a request. */
  readonly mayReceive: (server: KnownServer) => boolean;
  /** Whether the request still needs the permission. */
  readonly isNeeded: () => boolean;
}

/**
 * Asks whether the limit of a server allows one more request and, if the server is brittle, whether it has a free slot.
 * `decide` may be called before this returns.
 */
export function askPermission(
  { limits, brittle, mayReceive, isNeeded }: AskPermissionOptions,
  server: KnownServer,
  decide: (permission: ServerPermission) => void,
): void {
  limits.requestPermit(server.incarnationId, (permit) => {
    if (!isNeeded()) {
      decide({ kind: 'unneeded' });
      return;
    }
    if (permit.kind === 'denied') {
      decide({ kind: 'denied', by: 'limit' });
      return;
    }
    brittle.requestSlot(server, (slot) => {
      if (slot.kind === 'denied') {
        decide(isNeeded() ? { kind: 'denied', by: 'slot' } : { kind: 'unneeded' });
        return;
      }
      if (isNeeded() && mayReceive(server)) {
        decide({ kind: 'granted', slotLease: slot.lease });
        return;
      }
      slot.lease.release(false);
      decide(isNeeded() ? { kind: 'denied', by: 'use' } : { kind: 'unneeded' });
    });
  });
}
