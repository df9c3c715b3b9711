/** Types of library modules that are loaded by themselves; the libraries declare types for their whole only. */

declare module 'undici/lib/core/connect.js' {
  import { buildConnector } from 'undici';

  export default buildConnector;
}

declare module 'undici/lib/dispatcher/client.js' {
  import { Client } from 'undici';

  export default Client;
}

declare module 'undici/lib/core/symbols.js' {
  const symbols: {
    readonly kParser: unique symbol;
    readonly kQueue: unique symbol;
    readonly kRunningIdx: unique symbol;
  };
  export default symbols;
}

declare module 'hdr-histogram-js/dist/Int32Histogram.js' {
  import type { Histogram } from 'hdr-histogram-js';

  const library: {
    readonly default: new (
      lowestDiscernibleValue: number,
      highestTrackableValue: number,
      numberOfSignificantValueDigits: number,
    ) => Histogram;
  };
  export default library;
}

declare module 'prom-client/lib/counter.js' {
  import { Counter } from 'prom-client';

  export default Counter;
}

declare module 'prom-client/lib/gauge.js' {
  import { Gauge } from 'prom-client';

  export default Gauge;
}

declare module 'prom-client/lib/registry.js' {
  import { Registry } from 'prom-client';

  export default Registry;
}
