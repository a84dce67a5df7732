/**
 * Checks the head of an HTTP request beyond what the parser of Node.js does.
 *
 * The parser accepts a space between a field's name and the colon (RFC 9112, 5.1, asks for 400), and several Host
 * fields. Two parsers may read such a head differently, so it must not be passed on.
 */

const TOKEN = /^[!#$%&'*+\-.^_`|~\dA-Za-z]+$/
/** Fields that a request must not have more than once, because parsers disagree on which one counts. */
const SINGLE_FIELDS: ReadonlySet<string> = new Set(['host', 'content-length', 'transfer-encoding'])

/**
 * @param rawHeaders names and values in turn.
 * @returns what is wrong with the head; undefined when nothing is.
 */
export function findHeadFault (rawHeaders: readonly string[]): string | undefined {
  const seen = new Set<string>()
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]
    if (!TOKEN.test(name)) return 'a field name is no token'
    const lowerCase = name.toLowerCase()
    if (!SINGLE_FIELDS.has(lowerCase)) continue
    if (seen.has(lowerCase)) return `there are several ${lowerCase} fields`
    seen.add(lowerCase)
  }
  return undefined
}
