/** A mistake in a settings file. */
export interface SettingsFault {
  readonly file: string
  readonly section: string
  readonly key: string
  readonly expected: string
  readonly found: string
}
