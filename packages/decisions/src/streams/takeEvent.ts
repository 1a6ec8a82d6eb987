/** What the account needs to know of an event. */
export interface AccountedEvent {
  /** Empty for an event without an id. */
  readonly eventId: string
}

/** What the caller of a stream has, over all runs of its request. */
export interface StreamAccount {
  /** Id after which the stream goes on; empty if nothing tells. */
  readonly lastEventId: string
  /** This run has left events out: nothing more of it may reach the caller. */
  readonly hasGap: boolean
}

/** What became of an event. */
export interface TakenEvent<Event> {
  readonly account: StreamAccount
  /** Events that the caller gets now, in this order. */
  readonly passedOn: readonly Event[]
}

const NUMBER = /^\d{1,15}$/

/** The number of an event; undefined if its id is none. */
export const eventNumberOf = (eventId: string): number | undefined => NUMBER.test(eventId) ? Number(eventId) : undefined

/** The account of a caller that says which event it has got last; empty if it has none. */
export const openAccount = (lastEventId: string): StreamAccount => ({ lastEventId, hasGap: false })

/** The account at the beginning of another run. */
export const beginRun = (account: StreamAccount): StreamAccount => ({ ...account, hasGap: false })

/**
 * Decides what becomes of the next event of a run. Numbers increase by one: an event whose number the caller has is dropped, and one
 * that skips a number ends the run.
 *
 * Guards against events that are left out or come twice where a run goes on after an event that the caller has.
 */
export const takeEvent = <Event extends AccountedEvent>(account: StreamAccount, event: Event): TakenEvent<Event> => {
  if (account.hasGap) return { account, passedOn: [] }
  const number = eventNumberOf(event.eventId)
  if (number === undefined) return { account: { ...account, lastEventId: event.eventId || account.lastEventId }, passedOn: [event] }
  const last = eventNumberOf(account.lastEventId)
  if (last !== undefined && number <= last) return { account, passedOn: [] }
  if (last !== undefined && number > last + 1) return { account: { ...account, hasGap: true }, passedOn: [] }
  return { account: { ...account, lastEventId: event.eventId }, passedOn: [event] }
}
