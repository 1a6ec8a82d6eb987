import { Packr } from 'msgpackr/pack'

/** The field names of one kind of object, in the order in which it is made. */
export type Structure = readonly string[]

/** Packs and unpacks the messages of a link. */
export type MessageCodec = Pick<Packr, 'pack' | 'unpack'>

const ENVELOPE: Structure = ['offset', 'clock', 'body']

/**
 * Makes the codec of links whose two ends know the same structures in the same order. Objects of these kinds travel without their
 * names; one of any other kind names its fields once in each message.
 */
export const createMessageCodec = (structures: readonly Structure[]): MessageCodec => new Packr({
  useRecords: true,
  mapsAsObjects: true,
  moreTypes: false,
  structures: [ENVELOPE, ...structures].map(names => [...names]),
  maxSharedStructures: structures.length + 1
})
