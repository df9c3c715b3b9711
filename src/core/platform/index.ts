/** What the platform publishes. It is only ever read. */
export { PLATFORM_EVENTS } from './events';
export { watchConfiguration } from './watch-configuration';
