import type { ConfigurationStore } from '../configuration';
import type { Membership } from '../membership';
import type { Metrics } from '../metrics';
import { openOperatorListener } from '../operators';
import type { OperatorListener } from '../operators';
import { explainRoute } from '../serving';
import type { ServingDependencies } from '../serving';
import type { Settings } from '../settings';

/** What operators are shown of an instance. */
export interface OperatorSideOptions {
  readonly settings: Settings;
  /** Version of this release. */
  readonly release: string;
  readonly configuration: ConfigurationStore;
  readonly membership: Membership;
  readonly metrics: Metrics;
  readonly serving: ServingDependencies;
  readonly isReady: () => boolean;
}

/** Opens the operators' listener over the parts of an instance, and adds its gauges. */
export function openOperatorSide(options: OperatorSideOptions): Promise<OperatorListener> {
  const { settings, configuration, membership, metrics, serving } = options;
  const { instanceId, region, failureDomain, listeners, operatorKey } = settings;
  const configurationVersion = () => configuration.current()?.version ?? 0;
  const inFlightRequests = () => serving.inFlight.totalRequests();

  metrics.gauge('coltsfootworks_in_flight_requests', 'Requests open at servers', inFlightRequests);
  metrics.gauge(
    'coltsfootworks_configuration_version',
    'Version of the configuration in force',
    configurationVersion,
  );
  return openOperatorListener({
    ...listeners.operators,
    operatorKey,
    configuration,
    metrics,
    explainRoute: (callerId, service) => explainRoute(serving, callerId, service),
    status: () => ({
      instanceId,
      version: options.release,
      region,
      failureDomain,
      ready: options.isReady(),
      configurationVersion: configurationVersion(),
      inFlightRequests: inFlightRequests(),
      members: membership.members(),
    }),
  });
}
