/** Models whose weights a server can load without the weight store. */
export interface LocalCopies {
  readonly inMemory: readonly string[]
  readonly onDisk: readonly string[]
}

/** True when the server has a copy of the model's weights in its memory or on its disk. */
export const hasLocalCopy = ({ inMemory, onDisk }: LocalCopies, modelName: string): boolean =>
  inMemory.includes(modelName) || onDisk.includes(modelName)
