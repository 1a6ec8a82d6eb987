import { parse } from 'ini'
import { Left, Right } from 'purify-ts'
import { callerSpec, serviceSpec } from '@figmount/records'

import { adapterSection, callerSection, modelSection, serviceSection } from './fileSchemas.js'

import type { Either } from 'purify-ts'
import type * as z from 'zod'
import type { SettingsFault } from '@figmount/base'
import type { ConfigDraft } from './types.js'

type Sections = Readonly<Record<string, unknown>>
type Faults = SettingsFault[]

const toFaults = (file: string, section: string, error: z.ZodError): readonly SettingsFault[] =>
  error.issues.map(issue => ({
    file,
    section,
    key: issue.code === 'unrecognized_keys' ? issue.keys.join(', ') : issue.path.join('.'),
    expected: issue.code === 'unrecognized_keys' ? 'a known key' : issue.message,
    found: issue.code === 'unrecognized_keys' ? 'an unknown key' : issue.input === undefined ? 'nothing' : JSON.stringify(issue.input)
  }))

/** Validates a value and collects its faults; returns undefined if there are any. */
const validate = <T>(schema: z.ZodType<T>, file: string, section: string, value: unknown, faults: Faults): T | undefined => {
  const result = schema.safeParse(value, { reportInput: true })
  if (result.success) return result.data
  faults.push(...toFaults(file, section, result.error))
  return undefined
}

/** Returns the names of the sections directly below `prefix`: `[prefix/<name>]`. */
const childNames = (sections: Sections, prefix: string): readonly string[] => {
  const names: string[] = []
  for (const section of Object.keys(sections)) {
    if (!section.startsWith(`${prefix}/`)) continue
    const name = section.slice(prefix.length + 1)
    if (!name.includes('/')) names.push(name)
  }
  return names
}

const readAdapter = (file: string, sections: Sections, modelPath: string, name: string, faults: Faults): unknown => {
  const path = `${modelPath}/adapter/${name}`
  const section = validate(adapterSection, file, path, sections[path], faults)
  if (!section) return undefined
  const bound = section.max_replicas === undefined ? {} : { maxReplicas: section.max_replicas }
  return { name, memoryMb: section.memory_mb, ...bound }
}

const readModel = (file: string, sections: Sections, servicePath: string, name: string, faults: Faults): unknown => {
  const path = `${servicePath}/model/${name}`
  const section = validate(modelSection, file, path, sections[path], faults)
  if (!section) return undefined
  return {
    name,
    versions: section.versions,
    currentVersion: section.current_version,
    minReplicas: section.min_replicas,
    maxReplicas: section.max_replicas,
    memoryMb: section.memory_mb,
    checkpointMb: section.checkpoint_mb ?? section.memory_mb,
    adapters: childNames(sections, `${path}/adapter`).map(adapter => readAdapter(file, sections, path, adapter, faults))
  }
}

const readService = (file: string, sections: Sections, name: string, faults: Faults): ConfigDraft | undefined => {
  const path = `service/${name}` as const
  const section = validate(serviceSection, file, path, sections[path], faults)
  const models = childNames(sections, `${path}/model`).map(model => readModel(file, sections, path, model, faults))
  if (!section || faults.length > 0) return undefined
  const weight = section.idle_cost_weight === undefined ? {} : { idleCostWeight: section.idle_cost_weight }
  const body = { kind: section.kind, priorities: section.priorities ?? {}, models, ...weight }
  const spec = validate(serviceSpec, file, path, body, faults)
  return spec && { name: path, spec }
}

const readCaller = (file: string, sections: Sections, name: string, faults: Faults): ConfigDraft | undefined => {
  const path = `caller/${name}` as const
  const section = validate(callerSection, file, path, sections[path], faults)
  if (!section) return undefined
  const share = section.share === undefined ? {} : { share: section.share }
  const tenant = section.tenant === undefined ? {} : { tenant: section.tenant }
  const body = { kind: section.kind, keySha256: section.key_sha256, ...share, ...tenant }
  const spec = validate(callerSpec, file, path, body, faults)
  return spec && { name: path, spec }
}

/** Reports sections of unknown form, such as misspelt ones, and sections whose parent section is missing. */
const findInvalidSections = (file: string, sections: Sections): readonly SettingsFault[] => {
  const faults: Faults = []
  for (const section of Object.keys(sections)) {
    const parts = section.split('/')
    const shape = parts.filter((_, index) => index % 2 === 0).join('/')
    const isKnown = ['service', 'service/model', 'service/model/adapter', 'caller'].includes(shape) && parts.length % 2 === 0
    const parent = parts.slice(0, -2).join('/')
    if (isKnown && (parent === '' || parent in sections)) continue
    const expected = isKnown ? `a parent section [${parent}]` : 'service/NAME, service/NAME/model/NAME, .../adapter/NAME or caller/NAME'
    faults.push({ file, section, key: '', expected, found: section })
  }
  return faults
}

/** Parses a configuration file in INI format. Reports all faults, each with file, section and key. */
export const parseConfigFile = (file: string, text: string): Either<readonly SettingsFault[], readonly ConfigDraft[]> => {
  const sections: Sections = parse(text)
  const faults: Faults = [...findInvalidSections(file, sections)]
  const drafts: ConfigDraft[] = []
  for (const name of childNames(sections, 'service')) {
    const draft = readService(file, sections, name, faults)
    if (draft) drafts.push(draft)
  }
  for (const name of childNames(sections, 'caller')) {
    const draft = readCaller(file, sections, name, faults)
    if (draft) drafts.push(draft)
  }
  return faults.length > 0 ? Left(faults) : Right(drafts)
}
