import { readdirSync, readFileSync } from 'node:fs'
import { expect } from 'chai'
import { BaseEvent } from '@figmount/base'

import { AgentEvent } from '../../../agent/src/events.js'
import { ClientEvent } from '../../../client/src/events.js'
import { GatewayEvent } from '../../../gateway/src/events.js'
import { LoadEvent } from '../../../load/src/events.js'
import { PeerEvent } from '../../../peers/src/links/events.js'
import { RigEvent } from '../../../proof/src/rig/events.js'
import { RecordEvent } from '../../../records/src/log/events.js'
import { RouterEvent } from '../../../router/src/events.js'
import { SidecarEvent } from '../../../sidecar/src/events.js'
import { StandinEvent } from '../../../standin/src/events.js'
import { MARKED_EVENTS, SPAN_RULES } from '../drawing/spanRules.js'

const CATALOGUES = [BaseEvent, AgentEvent, ClientEvent, GatewayEvent, LoadEvent, RecordEvent, RigEvent, PeerEvent, RouterEvent, SidecarEvent, StandinEvent]
const EVENT_NAMES = new Set(CATALOGUES.flatMap(catalogue => Object.keys(catalogue)))

const findComparedNames = (text: string): readonly string[] =>
  [...text.matchAll(/name [!=]== '(\w+)'/g)].map(found => found[1] ?? '')

describe('event names', () => {
  // If an event is renamed and a check still compares with its old name, the check matches nothing and can never fail.
  it('in the checks exist in the event catalogues', () => {
    const folder = new URL('.', import.meta.url)
    const checks = readdirSync(folder).filter(file => file.startsWith('check') && !file.endsWith('.test.ts'))
    const names = checks.flatMap(file => findComparedNames(readFileSync(new URL(file, folder), 'utf8')))
    expect(names.length).to.be.greaterThan(15)
    expect(names.filter(name => !EVENT_NAMES.has(name))).to.deep.equal([])
  })

  it('in the diagram rules exist in the event catalogues', () => {
    const names = SPAN_RULES.flatMap(rule => [rule.startEvent, ...Object.keys(rule.endEvents)]).concat(Object.keys(MARKED_EVENTS))
    expect(names.filter(name => !EVENT_NAMES.has(name))).to.deep.equal([])
  })
})
