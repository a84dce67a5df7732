/** Request kinds: requests that are alike as far as their prompts show, for which quality is learned together. */

/** What a kind is made of. */
export interface KindFeatures {
  readonly workspace: string
  readonly workClass: string
  readonly promptTokens: number
  /** Messages of the conversation. */
  readonly messages: number
}

/** The kind's name. Prompt lengths are told apart by factors of 4, and first messages from later ones. */
export function requestKind ({ workspace, workClass, promptTokens, messages }: KindFeatures): string {
  const length = Math.min(5, Math.floor(Math.log2(Math.max(promptTokens, 16)) / 2) - 2)
  return `${workspace}/${workClass}/${length}${messages > 1 ? 'm' : 's'}`
}

/** What the answer itself tells about its quality: signals from the least to the most promising. */
export const ANSWER_SIGNALS = ['weak', 'plain', 'strong'] as const
export type AnswerSignal = typeof ANSWER_SIGNALS[number]

/** What is seen of an answer. */
export interface AnswerFeatures {
  readonly finishReason: string
  readonly outputTokens: number
  /** Mean log probability of the tokens, where the engine reports it. */
  readonly meanLogProbability?: number
}

const SHORT_ANSWER_TOKENS = 4
const LOW_MEAN_LOG_PROBABILITY = -1.2
const HIGH_MEAN_LOG_PROBABILITY = -0.4

/** The signal of an answer; an answer that was cut off or is nearly empty is weak. */
export function answerSignal ({ finishReason, outputTokens, meanLogProbability }: AnswerFeatures): AnswerSignal {
  if (finishReason !== 'stop' || outputTokens < SHORT_ANSWER_TOKENS) return 'weak'
  if (meanLogProbability === undefined) return 'plain'
  return meanLogProbability < LOW_MEAN_LOG_PROBABILITY ? 'weak' : meanLogProbability > HIGH_MEAN_LOG_PROBABILITY ? 'strong' : 'plain'
}
