/** What one instance is told when it starts. */
export { parseSettings } from './load-settings';
export type { SettingsText } from './load-settings';
export { settingsSchema } from './schema';
export type { Settings } from './schema';
