import { readFileSync } from 'node:fs';
import { ERRORS, errorText, gatewayError } from '../../core/errors';
import type { SettingsText } from '../../core/settings';

const SETTINGS_VARIABLE = 'COLTSFOOTWORKS_SETTINGS';
const STANDARD_INPUT = 0;

/** Settings come by file, by standard input (`-`) or by environment, since instances have no disks. */
export function readSettingsText(
  path: string | undefined,
  environment: NodeJS.ProcessEnv,
): SettingsText {
  const fromEnvironment = environment[SETTINGS_VARIABLE];
  if (path === undefined && fromEnvironment !== undefined) {
    return { source: SETTINGS_VARIABLE, text: fromEnvironment };
  }
  const source = path === '-' ? 'standard input' : (path ?? 'nowhere');
  if (path === undefined) {
    const reason = 'none were given';
    throw gatewayError(ERRORS.settingsUnreadable, [source, reason], { step: 'load-settings' });
  }
  try {
    return { source, text: readFileSync(path === '-' ? STANDARD_INPUT : path, 'utf8') };
  } catch (error) {
    throw gatewayError(
      ERRORS.settingsUnreadable,
      [source, errorText(error)],
      { step: 'load-settings' },
      error,
    );
  }
}
