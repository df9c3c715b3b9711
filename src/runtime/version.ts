import manifest from '../../package.json';

/** Version of this release, from the package manifest. */
export const VERSION = manifest.version;
