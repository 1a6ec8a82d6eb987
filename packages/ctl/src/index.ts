/** The operators' command-line tool. Its configuration file parser is also used by the demo and the load tool. */
export { parseConfigFile } from './configFile/parseConfigFile.js'
export type { ConfigDraft } from './configFile/types.js'
export { renderTable } from './output/renderTable.js'
