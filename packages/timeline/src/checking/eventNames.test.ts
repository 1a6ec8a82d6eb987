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
import { MARK_NAMES, SPAN_RULES } from '../drawing/spanRules.js'

const CATALOGUES = [BaseEvent, AgentEvent, ClientEvent, GatewayEvent, LoadEvent, RecordEvent, RigEvent, PeerEvent, RouterEvent, SidecarEvent, StandinEvent]
const KNOWN = new Set(CATALOGUES.flatMap(catalogue => Object.keys(catalogue)))

const namesIn = (text: string): readonly string[] =>
  [...text.matchAll(/name [!=]== '(\w+)'/g)].map(found => found[1] ?? '')

describe('event names', () => {
  // A check looks for an event that was renamed. It finds nothing in any run and never fails again.
  it('that the checks look for are in the catalogues', () => {
    const folder = new URL('.', import.meta.url)
    const checks = readdirSync(folder).filter(file => file.startsWith('check') && !file.endsWith('.test.ts'))
    const names = checks.flatMap(file => namesIn(readFileSync(new URL(file, folder), 'utf8')))
    expect(names.length).to.be.greaterThan(15)
    expect(names.filter(name => !KNOWN.has(name))).to.deep.equal([])
  })

  it('that the picture shows are in the catalogues', () => {
    const names = SPAN_RULES.flatMap(rule => [rule.opens, ...Object.keys(rule.closes)]).concat(Object.keys(MARK_NAMES))
    expect(names.filter(name => !KNOWN.has(name))).to.deep.equal([])
  })
})
