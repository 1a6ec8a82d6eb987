import { readFileSync } from 'node:fs'
import { parse } from 'ini'
import { Either, Left, Right } from 'purify-ts'
import * as z from 'zod'

import { ArrivalKind } from './types.js'

import type { CallerName, SettingsFault } from '@figmount/base'
import type { CallerPlan, Experiment, FaultPlan, TrafficPlan } from './types.js'

const MS_PER_SECOND = 1000

const wholeNumber = z.string().regex(/^\d+$/, 'a whole number').transform(Number)
const decimal = z.string().regex(/^\d+(\.\d+)?$/, 'a number').transform(Number)
const list = z.string().transform(text => text.split(',').map(part => part.trim()).filter(part => part !== ''))
const booleanText = z.union([z.boolean(), z.enum(['true', 'false'], 'true or false').transform(text => text === 'true')])

const experimentSection = z.strictObject({
  name: z.string('a name'),
  seed: wholeNumber,
  duration_s: decimal,
  /** Requests planned before this time are sent and checked, but left out of the figures. */
  warm_up_s: decimal.default(0),
  /** May be given on the command line instead. */
  routers: list.default([])
})

const callerSection = z.strictObject({ key: z.string("the caller's key") })

const trafficSection = z.strictObject({
  caller: z.string('the name of a [caller/NAME] section'),
  service: z.string('a service'),
  models: list,
  zipf_exponent: decimal.default(0),
  adapters: list.default([]),
  arrivals: z.enum(Object.values(ArrivalKind), 'poisson, steady or burst'),
  rate_per_second: decimal.default(0),
  burst_size: wholeNumber.default(0),
  burst_every_s: decimal.default(0),
  from_s: decimal.default(0),
  until_s: decimal.optional(),
  repeatable: booleanText.default(true),
  prompt_length: wholeNumber.default(200),
  prefix_count: wholeNumber.default(0),
  max_tokens: wholeNumber.default(16),
  deadline_ms: wholeNumber.default(10_000),
  patience_ms: wholeNumber.default(60_000)
}).refine(traffic => traffic.arrivals === ArrivalKind.Burst || traffic.rate_per_second > 0, { message: 'a rate above 0', path: ['rate_per_second'] })
  .refine(traffic => traffic.arrivals !== ArrivalKind.Burst || traffic.burst_size > 0, { message: 'a size above 0', path: ['burst_size'] })

const faultSection = z.strictObject({
  at_s: decimal,
  address: z.string('host:port of a control API'),
  path: z.string('a path that begins with /').startsWith('/'),
  body: z.string('JSON').refine(text => Either.encase(() => JSON.parse(text) as unknown).isRight(), 'JSON')
})

type Sections = Readonly<Record<string, unknown>>

const toSettingsFault = (file: string, section: string) => (issue: z.core.$ZodIssue): SettingsFault => {
  const isUnknownKey = issue.code === 'unrecognized_keys'
  return {
    file,
    section,
    key: isUnknownKey ? issue.keys.join(', ') : issue.path.join('.'),
    expected: isUnknownKey ? 'a known key' : issue.message,
    found: isUnknownKey ? 'an unknown key' : issue.input === undefined ? 'nothing' : JSON.stringify(issue.input)
  }
}

/** Parses sections and collects their faults. */
const createReader = (file: string, sections: Sections) => {
  const faults: SettingsFault[] = []
  const read = <T>(section: string, schema: z.ZodType<T>): T | undefined => {
    const result = schema.safeParse(sections[section], { reportInput: true })
    if (result.success) return result.data
    faults.push(...result.error.issues.map(toSettingsFault(file, section)))
    return undefined
  }
  const readAll = <T, P>(prefix: string, schema: z.ZodType<T>, build: (name: string, section: T) => P): readonly P[] => {
    const plans: P[] = []
    for (const section of Object.keys(sections)) {
      if (!section.startsWith(`${prefix}/`)) continue
      const found = read(section, schema)
      if (found !== undefined) plans.push(build(section.slice(prefix.length + 1), found))
    }
    return plans
  }
  return { read, readAll, faults }
}

const buildTraffic = (durationMs: number) => (name: string, section: z.infer<typeof trafficSection>): TrafficPlan => ({
  name,
  caller: section.caller as CallerName,
  service: section.service,
  models: section.models,
  zipfExponent: section.zipf_exponent,
  adapters: section.adapters,
  arrivals: section.arrivals,
  ratePerSecond: section.rate_per_second,
  burstSize: section.burst_size,
  burstEveryMs: section.burst_every_s * MS_PER_SECOND,
  fromMs: section.from_s * MS_PER_SECOND,
  untilMs: section.until_s === undefined ? durationMs : section.until_s * MS_PER_SECOND,
  repeatable: section.repeatable,
  promptLength: section.prompt_length,
  prefixCount: section.prefix_count,
  maxTokens: section.max_tokens,
  deadlineMs: section.deadline_ms,
  patienceMs: section.patience_ms
})

const buildCaller = (name: string, section: z.infer<typeof callerSection>): CallerPlan =>
  ({ name: name as CallerName, key: section.key })

const buildFault = (name: string, section: z.infer<typeof faultSection>): FaultPlan =>
  ({ name, atMs: section.at_s * MS_PER_SECOND, address: section.address, path: section.path, bodyJson: section.body })

const findUnknownCallers = (file: string, experiment: Experiment): readonly SettingsFault[] => {
  const callerNames = new Set(experiment.callers.map(caller => caller.name))
  return experiment.traffic
    .filter(traffic => !callerNames.has(traffic.caller))
    .map(traffic => ({ file, section: `traffic/${traffic.name}`, key: 'caller', expected: 'the name of a [caller/NAME] section', found: traffic.caller }))
}

const findUnknownSections = (file: string, sections: Sections): readonly SettingsFault[] =>
  Object.keys(sections)
    .filter(section => section !== 'experiment' && !/^(caller|traffic|fault)\/[^/]+$/.test(section))
    .map(section => ({ file, section, key: '', expected: 'experiment, caller/NAME, traffic/NAME or fault/NAME', found: section }))

/** Parses an experiment from INI. All mistakes are reported at once, before anything starts. */
export const parseExperiment = (file: string, text: string): Either<readonly SettingsFault[], Experiment> => {
  const sections: Sections = parse(text)
  const reader = createReader(file, sections)
  const general = reader.read('experiment', experimentSection)
  const durationMs = (general?.duration_s ?? 0) * MS_PER_SECOND
  const experiment: Experiment = {
    name: general?.name ?? '',
    seed: general?.seed ?? 0,
    durationMs,
    warmUpMs: (general?.warm_up_s ?? 0) * MS_PER_SECOND,
    routers: general?.routers ?? [],
    callers: reader.readAll('caller', callerSection, buildCaller),
    traffic: reader.readAll('traffic', trafficSection, buildTraffic(durationMs)),
    faults: reader.readAll('fault', faultSection, buildFault)
  }
  const faults = [...reader.faults, ...findUnknownSections(file, sections), ...findUnknownCallers(file, experiment)]
  return faults.length > 0 ? Left(faults) : Right(experiment)
}

/** Reads and checks an experiment file. */
export const loadExperiment = (file: string): Either<readonly SettingsFault[], Experiment> =>
  Either.encase(() => readFileSync(file, 'utf8'))
    .mapLeft((error): readonly SettingsFault[] => [{ file, section: '', key: '', expected: 'a readable file', found: error.message }])
    .chain(text => parseExperiment(file, text))
