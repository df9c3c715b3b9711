import type { Metrics } from '../metrics';
import type { StreamVersions } from '../stream-versions';

/** Exports what is known of the versions of streams as metrics. */
export function observeStreamVersions(
  metrics: Pick<Metrics, 'gauge' | 'labelledGauge'>,
  { size, takenUp }: Pick<StreamVersions, 'size' | 'takenUp'>,
): void {
  metrics.gauge(
    'coltsfootworks_stream_versions_kept',
    'Streams whose software version is kept for callers that take them up',
    size,
  );
  metrics.labelledGauge(
    'coltsfootworks_streams_taken_up',
    'Streams that callers have taken up, by how the version that began them was found',
    'found',
    takenUp,
  );
}
