import { requireDocument } from '../documents';
import { ERRORS, errorText, gatewayError } from '../errors';
import { settingsSchema } from './schema';
import type { Settings } from './schema';

/** Settings as text, and where the text came from, for messages. */
export interface SettingsText {
  readonly source: string;
  readonly text: string;
}

/** Reads and checks settings; throws `SettingsUnreadable` or `DocumentInvalid`. */
export function parseSettings({ source, text }: SettingsText): Settings {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (error) {
    throw gatewayError(
      ERRORS.settingsUnreadable,
      [source, `not JSON: ${errorText(error)}`],
      { step: 'load-settings' },
      error,
    );
  }
  return requireDocument(settingsSchema, value, `settings (${source})`);
}
