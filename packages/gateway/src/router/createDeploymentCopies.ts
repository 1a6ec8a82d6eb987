import { planFetch } from '@figmount/decisions'
import { createCopyFetch, createCopySource } from '@figmount/fleet'

import { GatewayEvent } from '../events.js'
import { createLaggardNotices } from './createLaggardNotices.js'
import { createReadDuty } from './createReadDuty.js'

import type { EventLog, TimerService } from '@figmount/base'
import type { AgentState, CopyFetch, DeploymentAsked, DeploymentPiece } from '@figmount/fleet'
import type { AgentLinks } from '../agents/createAgentLinks.js'
import type { Feeds } from './followFeeds.js'
import type { LaggardNotices } from './createLaggardNotices.js'
import type { ReadDuty } from './createReadDuty.js'

interface Options {
  readonly timers: TimerService
  readonly events: EventLog
  readonly feeds: Feeds
  readonly agents: AgentLinks
  /** Bandwidth of the router's own link. */
  readonly linkMbps: number
}

/** How one router and its agents get the configuration from each other. */
export interface DeploymentCopies extends Pick<CopyFetch, 'takePiece'>, Pick<ReadDuty, 'noteRegained'> {
  readonly takeState: (address: string, state: AgentState) => void
  readonly lose: (address: string) => void
  /** A piece of the router's configuration, for an agent that has an older one. */
  readonly pieceOf: (asked: DeploymentAsked) => DeploymentPiece | undefined
  /** The router must read the configuration from the store itself. */
  readonly isReadDue: ReadDuty['isDue']
  /** Tells agents that have been behind the router for a while. Called all the time. */
  readonly reviewLaggards: LaggardNotices['review']
}

/** Creates the copies of one router. */
export const createDeploymentCopies = ({ timers, events, feeds, agents, linkMbps }: Options): DeploymentCopies => {
  const source = createCopySource(feeds.deploymentCopy)
  const fetch = createCopyFetch({
    timers,
    ownVersion: feeds.deploymentVersion,
    readsStore: () => duty.isDue(),
    readQuietMs: feeds.deploymentQuietMs,
    plan: planFetch,
    ask: (address, asked, behindMs) => {
      if (asked.index === 0) events.emit(GatewayEvent.deploymentAsked, { peer: address, version: String(asked.version), waitMs: Math.round(behindMs) })
      agents.find(address)?.send(asked)
    },
    take: feeds.takeDeployment
  })
  const duty = createReadDuty({ timers, linkMbps, feeds, copyFetch: fetch })
  const laggards = createLaggardNotices({
    timers,
    ownVersion: feeds.deploymentVersion,
    tell: (address, version) => { agents.find(address)?.send({ type: 'deploymentHeld', version }) }
  })

  return {
    takeState: (address, { followsDeployments, deploymentVersion }) => {
      duty.noteState(address, followsDeployments)
      laggards.noteVersion(address, deploymentVersion)
      fetch.noteOffer(address, deploymentVersion)
      feeds.reviewReads()
    },
    lose: address => {
      duty.lose(address)
      laggards.lose(address)
      fetch.losePeer(address)
    },
    takePiece: fetch.takePiece,
    pieceOf: source.pieceOf,
    isReadDue: duty.isDue,
    noteRegained: duty.noteRegained,
    reviewLaggards: laggards.review
  }
}
