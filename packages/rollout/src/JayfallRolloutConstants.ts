/** Constants of the roll-out and cascade decisions. */

/** Probability with which the tests stop a good version, over its whole roll-out or service. */
export const FALSE_STOP_PROBABILITY = 0.01
/** Probability with which one step passes a version that is worse by `STEP_MARGIN`. */
export const FALSE_STEP_PROBABILITY = 0.05
/** Loss of mean score up to which a version counts as good. */
export const SCORE_TOLERANCE = 0.02
/** Loss of mean score that a step must rule out. */
export const STEP_MARGIN = 0.1
/** Traffic shares of the steps of a roll-out, in percent. */
export const ROLLOUT_STEPS: readonly number[] = [1, 5, 10, 25, 50, 100]

/** Bet sizes, as fractions of the largest bet that cannot lose more than its capital. */
export const BET_FRACTIONS: readonly number[] = [0.25, 0.5, 0.8]
/** Duration of a cohort in milliseconds. Answers given within this time form one cohort, and a change is assumed to begin with a cohort. */
export const COHORT_DURATION_MILLISECONDS = 120_000
/** Number of cohorts whose capital is kept separately; earlier cohorts are merged. */
export const MAXIMUM_SEPARATE_COHORTS = 16
/** Length of the first epoch, in cohorts. Within an epoch the capital for a later change is spread evenly, and each epoch is twice as long as the previous one. */
export const FIRST_EPOCH_COHORTS = 64

/** Number of ratings from which a version has a reference; the reference is computed again whenever this number has doubled. */
export const MINIMUM_REFERENCE_RATINGS = 400
/** Number of ratings after which the reference no longer changes. */
export const MAXIMUM_REFERENCE_RATINGS = 6400
/** The fraction of `FALSE_STOP_PROBABILITY` that covers the error of the references. */
export const REFERENCE_ERROR_FRACTION = 0.2
/** Weight of the newest rating in the recent mean of the old version's scores. */
export const RECENT_MEAN_WEIGHT = 0.1
/** Allowance for the noise of the recent mean, as a difference of scores. A recent mean further below the reference shows that the workload has changed and that the reference no longer applies. */
export const RECENT_MEAN_TOLERANCE = 0.1
/**
 * Number of new ratings that are kept until a rating of the old version arrives to compare them with.
 * With a long queue the steps waited for answers of earlier steps: good roll-outs took a median of 180 instead of 77 minutes.
 */
export const MAXIMUM_UNPAIRED_RATINGS = 4

/** The fraction of a model's ratings that goes to its version in roll-out; the rest goes to the old version. */
export const NEW_VERSION_RATING_PART = 2 / 3

/** Weight of the fitted model, in ratings, against the ratings of one kind, step and signal. */
export const MODEL_PRIOR_RATINGS = 10
/** Weight of the mean over all kinds, in ratings, against one kind's answers. */
export const KIND_PRIOR_RATINGS = 5
/** Weight of the catalogue's `quality`, in ratings, against the ratings of all kinds. */
export const CATALOGUE_PRIOR_RATINGS = 20
/** Greatest total weight of a kind's unrated answers, in ratings. */
export const MAXIMUM_UNRATED_ANSWER_WEIGHT = 30
export const EXPECTATION_MAXIMISATION_ITERATIONS = 20
/** Weight of the pooled frequency of a signal, in answers, against a kind's own answers. */
export const SIGNAL_PRIOR_ANSWERS = 20
/** Number of standard errors by which the estimated quality of a plan must exceed the target. */
export const PLAN_MARGIN_STANDARD_ERRORS = 0.5
/** Factor by which the error of the fitted model is assumed to exceed that of ratings, because signals may mean something else in a kind. */
export const MODEL_ERROR_FACTOR = 3
/** Probability that the first step of a request is drawn at random, so that each step keeps getting ratings. */
export const EXPLORED_PART = 0.02
/** Greatest total cost of a request, as a multiple of the cost of its most expensive step. */
export const REQUEST_BUDGET_FACTOR = 1.5
/** Greatest factor by which an answer with few ratings is offered for rating more often than the average. */
export const MAXIMUM_RATING_OFFER_FACTOR = 30
