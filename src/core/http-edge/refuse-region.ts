import type { Caller, CompiledConfiguration, Service } from '../configuration';
import { chooseEntry, toEntryAnswer } from '../entry';
import type { MembershipView } from '../membership';
import { REFUSALS, RefusalError } from '../refusals';
import { allowedRegions, currentlyAllowedRegions } from '../residency';
import type { GatewayRequest } from '../serving';

/** Keeps data out of regions in which it may not be, and names instances that may have it. */
export interface RegionGate {
  /** Throws before the body is read where this region may not have data of this caller for this service. */
  requireService(caller: Caller, service: Service): void;
  /** As `requireService`, where the model is known only from the body: some model must be allowed here. */
  requireAnyModel(caller: Caller, configuration: CompiledConfiguration): void;
  /** Adds the entries to use to a refusal that arose later, for example on leaving a queue. */
  nameEntries(error: unknown, request: GatewayRequest): unknown;
}

/** What the gate needs. */
export interface RegionGateOptions {
  readonly region: string;
  readonly membership: MembershipView;
  readonly nowUnixMs: () => number;
}

/** A gate for one instance's region. */
export function createRegionGate({ region, membership, nowUnixMs }: RegionGateOptions): RegionGate {
  const entriesIn = (caller: Caller, regions: readonly string[]) => {
    const choice = chooseEntry({
      members: membership.members(),
      regions,
      homeRegion: caller.homeRegion ?? regions[0] ?? region,
      key: caller.id,
    });
    if (choice === undefined) return [];
    const { entry, fallbacks } = toEntryAnswer(choice, nowUnixMs(), 0);
    return [entry, ...fallbacks];
  };

  const admit = (caller: Caller, regions: readonly string[]): void => {
    if (regions.includes(region)) return;
    throw new RefusalError(REFUSALS.regionNotAllowed, {
      detail: `Allowed are: ${regions.join(', ') || 'none'}.`,
      step: 'check-residency',
      evidence: { kind: 'neverSent' },
      entries: entriesIn(caller, regions),
    });
  };

  return {
    requireService: (caller, service) => admit(caller, allowedRegions(caller, service)),
    requireAnyModel(caller, configuration) {
      const regions = configuration.document.services
        .filter((service) => service.kind === 'model')
        .flatMap((service) => allowedRegions(caller, service));
      admit(caller, [...new Set(regions)]);
    },
    nameEntries(error, { caller, service, configuration }) {
      if (!(error instanceof RefusalError)) return error;
      const isElsewhere =
        error.definition === REFUSALS.regionNotAllowed || error.definition === REFUSALS.notReady;
      if (!isElsewhere || error.entries !== undefined) return error;
      const regions = currentlyAllowedRegions(configuration, caller.id, service.name);
      return error.with({ entries: entriesIn(caller, regions) });
    },
  };
}
