import { randomBytes } from 'node:crypto'
import { expect } from 'chai'
import { createVirtualTimers } from '@figmount/base'

import { createCopyFetch } from './createCopyFetch.js'
import { createCopySource } from './createCopySource.js'

import type { DeploymentCopy } from '../deployment/createNewestDeployment.js'
import type { FeedRecord } from '../feeds/types.js'
import type { DeploymentAsked, DeploymentPiece } from '../messages/types.js'

const OFFSET_OF_VERSION = 10

/** Random bytes do not shrink when they are compressed: such a record has five pieces. */
const makeRecord = (version: number): FeedRecord => ({ key: 'config', value: randomBytes(80_000), offset: version + OFFSET_OF_VERSION })

/** Time that one piece takes from its peer. */
const PIECE_MS = 20

/** The records of these tests stand at offsets that are ten greater than their versions. */
const copyOf = (record: FeedRecord): DeploymentCopy => ({ version: record.offset - OFFSET_OF_VERSION, record })

const versionsOf = (records: readonly FeedRecord[]): readonly number[] => records.map(record => copyOf(record).version)

interface Peer {
  record: FeedRecord | undefined
  isSilent: boolean
  /** Spoils the bytes of each piece. */
  isSpoiled: boolean
}

/** A process that fetches from peers, which answer after `PIECE_MS`. */
const setUp = (peerNames: readonly string[], readsStore = false, readsAgain = false) => {
  const timers = createVirtualTimers()
  const peers = new Map<string, Peer>()
  const sources = new Map<string, ReturnType<typeof createCopySource>>()
  const asked: Array<readonly [peer: string, version: number, index: number]> = []
  const taken: FeedRecord[] = []
  let ownVersion = 1
  let byteCount = 0
  let readAgainCount = 0
  let isRefusing = false

  for (const name of peerNames) {
    const peer: Peer = { record: undefined, isSilent: false, isSpoiled: false }
    peers.set(name, peer)
    sources.set(name, createCopySource(() => peer.record && copyOf(peer.record)))
  }

  const answer = (name: string, request: DeploymentAsked): void => {
    const peer = peers.get(name)
    const piece: DeploymentPiece | undefined = sources.get(name)?.pieceOf(request)
    if (!piece || !peer || peer.isSilent) return
    byteCount += piece.bytes.length
    fetch.takePiece(name, peer.isSpoiled ? { ...piece, bytes: piece.bytes.map(byte => byte ^ 0xFF) } : piece)
  }

  const fetch = createCopyFetch({
    timers,
    ownVersion: () => ownVersion,
    readsStore: () => readsStore,
    readQuietMs: () => Infinity,
    ...(readsAgain ? { readAgain: () => { readAgainCount += 1 } } : {}),
    plan: ({ behindMs, readsStore, mayReadAgain, fetchQuietMs }) => {
      if (fetchQuietMs !== undefined) return fetchQuietMs >= 400 ? 'fetch' : 'wait'
      if (mayReadAgain && behindMs >= 150) return 'readAgain'
      return !readsStore || behindMs >= 150 ? 'fetch' : 'wait'
    },
    ask: (peer, request) => {
      asked.push([peer, request.version, request.index])
      timers.after(PIECE_MS, () => { answer(peer, request) })
    },
    take: record => {
      taken.push(record)
      if (isRefusing) return
      ownVersion = Math.max(ownVersion, copyOf(record).version)
    }
  })

  const offer = (name: string, record: FeedRecord): void => {
    const peer = peers.get(name)
    if (peer) peer.record = record
    fetch.noteOffer(name, copyOf(record).version)
  }

  const pass = (durationMs: number): void => {
    for (let passedMs = 0; passedMs < durationMs; passedMs += 10) timers.advance(10)
  }
  return { peers, fetch, asked, taken, offer, pass, learn: (version: number) => { ownVersion = version }, byteCount: () => byteCount, readAgainCount: () => readAgainCount, refuse: () => { isRefusing = true } }
}

const peersAsked = (asked: ReadonlyArray<readonly [peer: string, version: number, index: number]>): readonly string[] => [...new Set(asked.map(([peer]) => peer))]

describe('a fetch of the configuration', () => {
  it('takes it once, piece by piece, from one of the peers that have it', () => {
    // Guards against copies from several peers that share one narrow link.
    const { asked, taken, offer, pass, byteCount } = setUp(['a', 'b', 'c'])
    const record = makeRecord(5)
    for (const peer of ['a', 'b', 'c']) offer(peer, record)
    pass(1_000)
    expect(taken).to.deep.equal([record])
    expect(asked.map(([, , index]) => index)).to.deep.equal([0, 1, 2, 3, 4])
    expect(byteCount()).to.be.below(81_000)
  })

  it('is sent compressed', () => {
    const source = createCopySource(() => ({ version: 5, record: { key: 'config', value: Buffer.from('{"name":"route"},'.repeat(5_000)), offset: 15 } }))
    const piece = source.pieceOf({ type: 'deploymentAsked', version: 5, index: 0 })
    expect(piece?.count).to.equal(1)
    expect(piece?.bytes.length).to.be.below(1_000)
  })

  it('comes after one more own read where the process may begin that again', () => {
    // Guards against a process that never fetches, as it goes on reading on dead connections.
    const { asked, taken, offer, pass, readAgainCount } = setUp(['a'], true, true)
    offer('a', makeRecord(5))
    pass(250)
    expect([readAgainCount(), asked.length]).to.deep.equal([1, 0])
    pass(1_000)
    expect(taken).to.have.length(1)
    offer('a', makeRecord(6))
    pass(250)
    expect(readAgainCount()).to.equal(2)
  })

  it('waits a while if the process reads the store, and is not begun if that brings it', () => {
    const { asked, taken, offer, pass, learn } = setUp(['a'], true)
    offer('a', makeRecord(5))
    pass(100)
    learn(5)
    pass(1_000)
    expect(asked).to.deep.equal([])
    offer('a', makeRecord(9))
    pass(1_000)
    expect(versionsOf(taken)).to.deep.equal([9])
  })

  it('turns to another peer when one falls silent or is lost', () => {
    // Guards against a peer that was paused, killed or cut off in the middle of a copy.
    const { peers, fetch, asked, taken, offer, pass } = setUp(['a', 'b', 'c'])
    const record = makeRecord(5)
    for (const peer of ['a', 'b', 'c']) offer(peer, record)
    pass(50)
    const first = peers.get('a')
    if (first) first.isSilent = true
    pass(440)
    fetch.losePeer('b')
    pass(1_000)
    expect(peersAsked(asked)).to.deep.equal(['a', 'b', 'c'])
    expect(taken).to.deep.equal([record])
  })

  it('turns to another peer when a copy cannot be unpacked', () => {
    const { peers, taken, offer, pass } = setUp(['a', 'b'])
    const record = makeRecord(5)
    const first = peers.get('a')
    if (first) first.isSpoiled = true
    for (const peer of ['a', 'b']) offer(peer, record)
    pass(2_000)
    expect(taken).to.deep.equal([record])
  })

  it('ends before a newer configuration is fetched', () => {
    // Guards against changes in quick succession of which none ever arrives.
    const { taken, offer, pass } = setUp(['a', 'b'])
    for (let offset = 5; offset < 15; offset++) {
      const record = makeRecord(offset)
      for (const peer of ['a', 'b']) offer(peer, record)
      pass(60)
    }
    pass(1_000)
    expect(taken.length).to.be.greaterThan(3)
    expect(versionsOf(taken).at(-1)).to.equal(14)
  })

  it('begins with the newest configuration of a peer that has dropped the one asked for', () => {
    const { peers, taken, offer, pass } = setUp(['a'])
    offer('a', makeRecord(5))
    const peer = peers.get('a')
    const next = makeRecord(6)
    if (peer) peer.record = next
    pass(1_000)
    expect(taken).to.deep.equal([next])
  })

  it('takes a configuration once that the process does not put in force', () => {
    // Guards against a link that is always busy with a configuration which its receiver refuses.
    const { taken, offer, pass, refuse } = setUp(['a', 'b'])
    refuse()
    for (const peer of ['a', 'b']) offer(peer, makeRecord(5))
    pass(3_000)
    expect(taken).to.have.length(1)
    offer('a', makeRecord(6))
    pass(1_000)
    expect(versionsOf(taken)).to.deep.equal([5, 6])
  })

  it('counts failures until the process is up to date', () => {
    // Guards against a router that relies on its peers although none of them answers.
    const { peers, fetch, offer, pass, learn } = setUp(['a', 'b'])
    for (const peer of peers.values()) peer.isSilent = true
    for (const name of ['a', 'b']) offer(name, makeRecord(5))
    pass(1_300)
    expect(fetch.failedCount()).to.be.greaterThan(1)
    learn(5)
    pass(100)
    expect(fetch.failedCount()).to.equal(0)
  })
})
