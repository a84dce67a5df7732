/** Constants of the roll-out and cascade decisions. */

/** Probability with which the tests stop a good version, over its whole roll-out or service. */
export const FALSE_STOP_PROBABILITY = 0.01
/** Probability with which one step lets a version pass that is worse by `STEP_MARGIN`. */
export const FALSE_STEP_PROBABILITY = 0.05
/** Loss of mean score up to which a version counts as good. */
export const SCORE_TOLERANCE = 0.02
/** Loss of mean score that a step must rule out. */
export const STEP_MARGIN = 0.1
/** Traffic shares of a roll-out, in hundredths. */
export const ROLLOUT_STEPS: readonly number[] = [1, 5, 10, 25, 50, 100]

/** Sizes of bets, as parts of the largest that cannot lose more than everything. */
export const BET_FRACTIONS: readonly number[] = [0.25, 0.5, 0.8]
/** Answers given within this time form one cohort; a change is taken to begin with a cohort. Milliseconds. */
export const COHORT_MILLISECONDS = 120_000
/** Cohorts whose capital is kept apart; earlier ones are merged. */
export const SEPARATE_COHORTS = 16
/** Cohorts over which the chance of a later change is spread evenly; each later epoch is twice as long. */
export const FIRST_EPOCH_COHORTS = 64

/** Ratings from which a version has a reference; it is computed again whenever its ratings have doubled. */
export const FIRST_REFERENCE_RATINGS = 400
export const LAST_REFERENCE_RATINGS = 6400
/** The part of `FALSE_STOP_PROBABILITY` that covers the error of the references. */
export const REFERENCE_ERROR_PART = 0.2
/** Weight of the newest rating in the recent mean of the old version. */
export const RECENT_MEAN_WEIGHT = 0.1
/** The recent mean's own noise. Once it is further below the reference, the workload has changed and the reference no longer applies. */
export const RECENT_MEAN_SLACK = 0.1
/**
 * New ratings kept until a rating of the old version arrives to compare them with.
 * With a long queue the steps waited for answers of earlier steps: a median of 180 instead of 77 minutes for good roll-outs.
 */
export const MAXIMUM_UNPAIRED_RATINGS = 4

/** The part of a model's ratings that goes to its version in roll-out; the rest go to the old version. */
export const NEW_VERSION_RATING_PART = 2 / 3

/** Ratings that the fitted model counts for, against the ratings of one kind, step and signal. */
export const MODEL_PRIOR_RATINGS = 10
/** Ratings that the mean over all kinds counts for, against one kind's answers. */
export const KIND_PRIOR_RATINGS = 5
/** Ratings that the catalogue's `quality` counts for, against the ratings of all kinds. */
export const CATALOGUE_PRIOR_RATINGS = 20
/** Ratings that all answers of a kind without a rating count for at most. */
export const UNRATED_ANSWERS = 30
export const MODEL_ITERATIONS = 20
/** Answers that the pooled frequency of a signal counts for, against a kind's own answers. */
export const SIGNAL_PRIOR_ANSWERS = 20
/** Standard errors by which the estimated quality of a plan must exceed the target. */
export const PLAN_MARGIN_ERRORS = 0.5
/** How much larger than that of ratings the error of the fitted model is taken: signals may mean something else in a kind. */
export const FIT_ERROR_FACTOR = 3
/** The part of requests whose first step is drawn at random, so that ratings of each step go on. */
export const EXPLORED_PART = 0.02
/** A request may cost at most this many times its dearest step, all steps together. */
export const REQUEST_BUDGET_FACTOR = 1.5
/** Bounds on how much more often than the average an answer with few ratings is offered. */
export const HIGHEST_OFFER_BOOST = 30
