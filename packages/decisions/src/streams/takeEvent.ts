/** What the account needs to know of an event. */
export interface AccountedEvent {
  /** Empty for an event without an id. */
  readonly eventId: string
  /** False for a comment and the like, which are no pieces of the stream. */
  readonly hasData: boolean
  readonly bytes: { readonly length: number }
}

/** What the caller of a stream has, over all runs of its request. */
export interface StreamAccount<Event> {
  /** Id after which the stream goes on; empty if nothing tells. */
  readonly lastEventId: string
  /** The caller has a piece without a number after that event: no other run can tell where it goes on. */
  readonly hasUnplaced: boolean
  /** Newest number of this run. */
  readonly runNumber: number | undefined
  /** This run has sent the last event. */
  readonly hasLast: boolean
  /** This run has sent the last event again after a piece without a number: whether the caller has the next such piece is unknown. */
  readonly isRepeating: boolean
  /** Pieces without a number were dropped after this run's newest number, which the caller has. */
  readonly hasDropped: boolean
  /** Pieces without a number that wait for this run's first number, which tells whether the caller has them. */
  readonly held: readonly Event[]
  /** This run has left events out, or can't be placed: nothing more of it may reach the caller. */
  readonly hasGap: boolean
}

/** What became of an event. */
export interface TakenEvent<Event> {
  readonly account: StreamAccount<Event>
  /** Events that the caller gets now, in this order. */
  readonly passedOn: readonly Event[]
}

const NUMBER = /^\d{1,15}$/

/** Pieces are held up to this size and this number. */
const MAX_HELD_BYTES = 1024 * 1024
const MAX_HELD_COUNT = 256

/** The number of an event; undefined if its id is none. */
export const eventNumberOf = (eventId: string): number | undefined => NUMBER.test(eventId) ? Number(eventId) : undefined

const NEW_RUN = { runNumber: undefined, hasLast: false, isRepeating: false, hasDropped: false, held: [], hasGap: false }

/** The account of a caller that says which event it has got last; empty if it has none. */
export const openAccount = <Event>(lastEventId: string): StreamAccount<Event> => ({ lastEventId, hasUnplaced: false, ...NEW_RUN })

/** The account at the beginning of another run. */
export const beginRun = <Event>({ lastEventId, hasUnplaced }: StreamAccount<Event>): StreamAccount<Event> => ({ lastEventId, hasUnplaced, ...NEW_RUN })

/** Whether the stream may go on in another run, after the last event. */
export const mayGoOn = ({ hasUnplaced }: StreamAccount<unknown>): boolean => !hasUnplaced

const drop = <Event>(account: StreamAccount<Event>): TakenEvent<Event> => ({ account, passedOn: [] })

const endWithGap = <Event>(account: StreamAccount<Event>): TakenEvent<Event> => drop({ ...account, held: [], hasGap: true })

const takeNumbered = <Event extends AccountedEvent>(account: StreamAccount<Event>, event: Event, number: number): TakenEvent<Event> => {
  const last = eventNumberOf(account.lastEventId)
  if (last !== undefined && number <= last) return drop({ ...account, runNumber: number, hasLast: account.hasLast || number === last, isRepeating: account.hasUnplaced, hasDropped: false, held: [] })
  // Where the run leaves the last event out, what was dropped may have come after it.
  if (last !== undefined && (number > last + 1 || account.hasDropped)) return endWithGap(account)
  return {
    account: { ...account, lastEventId: event.eventId, hasUnplaced: false, runNumber: number, hasLast: true, isRepeating: false, hasDropped: false, held: [] },
    passedOn: [...account.held, event]
  }
}

const takeUnnumbered = <Event extends AccountedEvent>(account: StreamAccount<Event>, event: Event): TakenEvent<Event> => {
  const last = eventNumberOf(account.lastEventId)
  if (last !== undefined && account.runNumber === undefined) {
    const held = [...account.held, event]
    const heldBytes = held.reduce((sum, { bytes }) => sum + bytes.length, 0)
    return held.length > MAX_HELD_COUNT || heldBytes > MAX_HELD_BYTES ? endWithGap(account) : drop({ ...account, held })
  }
  if (last !== undefined && account.runNumber !== undefined && account.runNumber < last) return drop({ ...account, hasDropped: true })
  if (account.isRepeating) return endWithGap(account)
  return { account: { ...account, hasUnplaced: true }, passedOn: [event] }
}

/**
 * Decides what becomes of the next event of a run. Numbers increase by one: an event whose number the caller has is dropped, and one
 * that skips a number ends the run. A piece without a number belongs after the number before it.
 *
 * Guards against pieces that are left out or come twice where a run goes on after an event that the caller has.
 */
export const takeEvent = <Event extends AccountedEvent>(account: StreamAccount<Event>, event: Event): TakenEvent<Event> => {
  if (account.hasGap) return drop(account)
  const number = eventNumberOf(event.eventId)
  if (number !== undefined) return takeNumbered(account, event, number)
  return event.hasData ? takeUnnumbered(account, event) : { account, passedOn: [event] }
}

/**
 * Whether the end of a run may be the end of the stream.
 *
 * Guards against a stream that counts as complete as a run has begun anew and ended before the last event that the caller has.
 */
export const mayEnd = ({ runNumber, hasLast }: StreamAccount<unknown>): boolean => runNumber === undefined || hasLast

/** Decides what becomes of held pieces at the end of a run that has come to its end without a number. */
export const endRun = <Event>(account: StreamAccount<Event>): TakenEvent<Event> => ({ account: beginRun(account), passedOn: account.held })
