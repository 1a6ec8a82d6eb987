import { writeFileSync } from 'node:fs'
import { stringify } from 'ini'

import type { IniSections } from './types.js'

/** Writes settings as an INI file. */
export const writeIni = (file: string, sections: IniSections): void => {
  writeFileSync(file, stringify(sections))
}

/** The same settings with the port that the system chose, so that a restart listens there again. */
export const withPort = (sections: IniSections, address: string): IniSections => {
  const port = Number(address.slice(address.lastIndexOf(':') + 1))
  return { ...sections, process: { ...sections.process, port } }
}
