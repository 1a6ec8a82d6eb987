import { Packr } from 'msgpackr/pack'

/** Field names of one kind of object, in the order in which the object is created. */
export type Structure = readonly string[]

/** Encodes and decodes the messages of a link. */
export type MessageCodec = Pick<Packr, 'pack' | 'unpack'>

/** The encoding has room for so many shared structures. With more, messages of a kind that is sent later cannot be decoded. */
const MAX_STRUCTURES = 32

const ENVELOPE: Structure = ['offset', 'clock', 'body']

/**
 * Creates a codec. Both ends of a link must use the same structures in the same order. Objects that match one are encoded
 * without their field names; other objects include their field names once per message.
 */
export const createMessageCodec = (structures: readonly Structure[]): MessageCodec => {
  if (structures.length >= MAX_STRUCTURES) throw new Error(`${structures.length} structures, at most ${MAX_STRUCTURES - 1} are possible`)
  return new Packr({
    useRecords: true,
    mapsAsObjects: true,
    moreTypes: false,
    structures: [ENVELOPE, ...structures].map(names => [...names]),
    maxSharedStructures: structures.length + 1
  })
}
