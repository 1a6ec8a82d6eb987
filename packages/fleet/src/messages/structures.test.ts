import { expect } from 'chai'

import { createMessageCodec } from '../../../peers/src/links/createMessageCodec.js'
import { MESSAGE_STRUCTURES } from './structures.js'

import type { AgentMessage, RouterMessage } from './types.js'

const START = { serverId: 'a', startedAtUnixMs: 5 }

const MESSAGES: ReadonlyArray<RouterMessage | AgentMessage> = [
  { type: 'heartbeat' },
  { type: 'deploymentAsked', version: 3, index: 0 },
  { type: 'deploymentHeld', version: 3 },
  { type: 'deploymentPiece', version: 3, offset: 3, index: 0, count: 1, key: 'config', bytes: Buffer.from('x') },
  { type: 'serverLeaving', start: START },
  { type: 'serverLimit', start: START, limitPerS: undefined },
  { type: 'streamsBegan', origins: [{ streamId: 's', serviceName: 'r', softwareVersion: 'v1' }] },
  { type: 'originAsked', askId: 1, streamId: 's', serviceName: 'r' },
  { type: 'originAnswered', askId: 1, softwareVersion: undefined, rememberedForMs: 5 },
  { type: 'originAnswered', askId: 1, softwareVersion: 'v1', rememberedForMs: 5 },
  { type: 'limiterChosen', organisations: ['o'], routerCount: 4 },
  { type: 'unitsAnswered', askId: 1, outcome: 'taken', waitMs: 0 },
  { type: 'listRead', fromOffset: 1, toOffset: 2, records: [{ key: 'a', value: undefined, offset: 1 }], ageMs: 1, answeredForMs: 0, isAfterBreak: false },
  { type: 'wantSettled', wantId: 1, isReady: false, isLost: true, reason: 'gone' },
  { type: 'crash', crashes: [], answered: [], partDeaths: [{ start: START, ageMs: 1, parts: [{ partId: 'p', sentAgeMs: 2, provenAgeMs: undefined, sentAfter: undefined }] }], partProofs: [{ partId: 'p', sentAgeMs: 3 }] },
  { type: 'stateChange', changes: { goneStarts: [START], isUp: true, isDraining: false, followsDeployments: true } }
]

describe('messages between routers and agents', () => {
  it('are decoded as they were sent, whatever was sent before', () => {
    // Guards against a kind of message that its receiver cannot decode, which closes the link again and again.
    const [sender, receiver] = [createMessageCodec(MESSAGE_STRUCTURES), createMessageCodec(MESSAGE_STRUCTURES)]
    for (let turn = 0; turn < 50; turn++) {
      for (const body of MESSAGES) {
        const sent = { offset: 0, clock: turn, body }
        expect(receiver.unpack(sender.pack(sent))).to.deep.equal(sent)
      }
    }
  })
})
