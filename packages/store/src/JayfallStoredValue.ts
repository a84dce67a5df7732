/**
 * Decodes values that any writer may have stored.
 *
 * Values are encoded again for other instances, which takes stack space for each level, so values that are nested
 * more deeply than any writer of the product nests them count as unreadable.
 */

/** Maximum number of arrays and objects within each other. Configurations have six. */
const MAXIMUM_DEPTH = 64

const [QUOTE, BACKSLASH, OPENING_BRACKET, CLOSING_BRACKET, OPENING_BRACE, CLOSING_BRACE] = [...'"\\[]{}'].map(character => character.charCodeAt(0))

/** Parses JSON; returns null when the text is not JSON or is nested too deeply. */
export function parseStoredValue (text: string): unknown {
  if (depthOf(text) > MAXIMUM_DEPTH) return null
  try {
    return JSON.parse(text)
  } catch {
    // The reader of each row reports values that it cannot use.
    return null
  }
}

/** The number of arrays and objects that are open at once; at most one more than the maximum. */
function depthOf (text: string): number {
  let depth = 0
  let deepest = 0
  for (let index = 0; index < text.length && deepest <= MAXIMUM_DEPTH; index++) {
    const code = text.charCodeAt(index)
    if (code === QUOTE) index = endOfString(text, index)
    else if (code === OPENING_BRACKET || code === OPENING_BRACE) deepest = Math.max(deepest, ++depth)
    else if (code === CLOSING_BRACKET || code === CLOSING_BRACE) depth--
  }
  return deepest
}

/** The index of the quotation mark that ends a string, or the end of the text. */
function endOfString (text: string, start: number): number {
  for (let index = start + 1; index < text.length; index++) {
    const code = text.charCodeAt(index)
    if (code === QUOTE) return index
    if (code === BACKSLASH) index++
  }
  return text.length
}
