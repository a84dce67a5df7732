/** Request kinds: groups of requests with similar prompts, for which quality is learned together, and the signals that answers give. */

/** The features that determine the kind of a request. */
export interface KindFeatures {
  readonly workspace: string
  readonly workClass: string
  readonly promptTokens: number
  /** Number of messages in the conversation. */
  readonly messages: number
}

/** Returns the name of the kind. Kinds separate prompt lengths by factors of 4, and first messages of a conversation from later ones. */
export function requestKind ({ workspace, workClass, promptTokens, messages }: KindFeatures): string {
  const promptSizeClass = Math.min(5, Math.floor(Math.log2(Math.max(promptTokens, 16)) / 2) - 2)
  return `${workspace}/${workClass}/${promptSizeClass}${messages > 1 ? 'm' : 's'}`
}

/** Signals of quality that an answer itself gives, from the least to the most promising. */
export const ANSWER_SIGNALS = ['weak', 'plain', 'strong'] as const
export type AnswerSignal = typeof ANSWER_SIGNALS[number]

/** The features that determine the signal of an answer. */
export interface AnswerFeatures {
  readonly finishReason: string
  readonly outputTokens: number
  /** Mean log probability of the tokens, where the engine reports it. */
  readonly meanLogProbability?: number
}

const SHORT_ANSWER_TOKENS = 4
const LOW_MEAN_LOG_PROBABILITY = -1.2
const HIGH_MEAN_LOG_PROBABILITY = -0.4

/** Returns the signal of an answer. An answer that was cut off or is nearly empty is weak. */
export function answerSignal ({ finishReason, outputTokens, meanLogProbability }: AnswerFeatures): AnswerSignal {
  if (finishReason !== 'stop' || outputTokens < SHORT_ANSWER_TOKENS) return 'weak'
  if (meanLogProbability === undefined) return 'plain'
  return meanLogProbability < LOW_MEAN_LOG_PROBABILITY ? 'weak' : meanLogProbability > HIGH_MEAN_LOG_PROBABILITY ? 'strong' : 'plain'
}
