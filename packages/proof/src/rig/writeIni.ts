import { writeFileSync } from 'node:fs'
import { stringify } from 'ini'

import type { IniSections } from './types.js'

/** Writes settings as an INI file. */
export const writeIni = (file: string, sections: IniSections): void => {
  writeFileSync(file, stringify(sections))
}

/** Settings with the port that the operating system chose, so that the process listens there again after a restart. */
export const withPort = (sections: IniSections, address: string): IniSections => {
  const port = Number(address.slice(address.lastIndexOf(':') + 1))
  return { ...sections, process: { ...sections.process, port } }
}
