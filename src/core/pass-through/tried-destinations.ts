import { destinationName } from './attempt';
import type { SendableDestination } from './destinations';
import type { ForwardPeer } from './other-regions';
import type { TriedDestinations } from './types';

/** Destinations of one request, recorded as they are tried. */
export interface TriedRecord extends TriedDestinations {
  recordSent(to: SendableDestination): void;
  /** Records that an instance refused the request on behalf of its region. */
  recordRefusal(peer: ForwardPeer): void;
  /** Lets the regions that refused the request be asked again; returns whether there was one. */
  forgetRefusals(): boolean;
}

/** Creates a record without destinations. */
export function createTriedRecord(): TriedRecord {
  const ids = new Set<string>();
  const refusingRegions = new Set<string>();
  const refusingPeerIds = new Set<string>();
  return {
    ids,
    refusingRegions,
    recordSent(to) {
      ids.add(destinationName(to));
    },
    recordRefusal({ region, instanceId }) {
      refusingRegions.add(region);
      refusingPeerIds.add(instanceId);
    },
    forgetRefusals() {
      const hadRefusals = refusingRegions.size > 0;
      for (const instanceId of refusingPeerIds) ids.delete(instanceId);
      refusingPeerIds.clear();
      refusingRegions.clear();
      return hadRefusals;
    },
  };
}
