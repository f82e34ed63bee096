import {z} from 'zod';

import {
  FailureNote,
  ReleaseNote,
  ReplanCall,
  ReserveAnswer,
  ReserveCall,
  SummaryNote,
} from './cellMessages.js';
import {
  ChosenStage,
  Prediction,
  StageObservation,
  WorkEstimate,
} from './routing.js';
import {
  answerRow,
  failureRow,
  outcomes,
  refusalReasons,
  releaseRow,
  replanRow,
  reserveRow,
  summaryRow,
  workRow,
} from './cellSchemas.js';

/** Turns messages about cells into positional rows and back; what a row leaves out, its reader knows. */

/** A reservation call as it travels. */
export type ReserveRow = z.input<typeof reserveRow>;
/** A call for other stages as it travels. */
export type ReplanRow = z.input<typeof replanRow>;
/** A returned reservation as it travels. */
export type ReleaseRow = z.input<typeof releaseRow>;
/** A failed stage as it travels. */
export type FailureRow = z.input<typeof failureRow>;
/** An owner's answer as it travels. */
export type AnswerRow = z.input<typeof answerRow>;
/** What is told of one model in one cell, as it travels. */
export type SummaryRow = z.input<typeof summaryRow>;

type ReservedRow = Extract<AnswerRow, readonly [0, ...unknown[]]>;
type StageRow = ReservedRow[1][number];
type PredictionRow = ReservedRow[2];

/** The row of a call for capacity. */
export function encodeReserve(call: ReserveCall): ReserveRow {
  return [
    call.cell,
    call.model,
    call.reservationId,
    encodeWork(call.work),
    [...call.excluded],
    call.releases.map(encodeRelease),
  ];
}

/** The call of a checked row. */
export function decodeReserve(row: z.output<typeof reserveRow>): ReserveCall {
  const [cell, model, reservationId, work, excluded, releases] = row;
  return {
    cell,
    model,
    reservationId,
    work: decodeWork(work),
    excluded,
    releases: releases.map(decodeRelease),
  };
}

/** The row of a call for other stages. */
export function encodeReplan(call: ReplanCall): ReplanRow {
  return [call.replaces, encodeReserve(call)];
}

/** The call of a checked row. */
export function decodeReplan(row: z.output<typeof replanRow>): ReplanCall {
  const [replaces, reserve] = row;
  return {...decodeReserve(reserve), replaces};
}

/** The row of a returned reservation. */
export function encodeRelease(note: ReleaseNote): ReleaseRow {
  const {cell, reservationId, observations} = note;
  return [cell, reservationId, observations.map(encodeObservation)];
}

/** The release of a checked row. */
export function decodeRelease(row: z.output<typeof releaseRow>): ReleaseNote {
  const [cell, reservationId, observations] = row;
  return {
    cell,
    reservationId,
    observations: observations.map(decodeObservation),
  };
}

/** The row of a failed stage. */
export function encodeFailure(note: FailureNote): FailureRow {
  const {cell, reservationId, observation} = note;
  return [cell, reservationId, encodeObservation(observation)];
}

/** The note of a checked row. */
export function decodeFailure(row: z.output<typeof failureRow>): FailureNote {
  const [cell, reservationId, observation] = row;
  return {cell, reservationId, observation: decodeObservation(observation)};
}

/** The row of a summary. */
export function encodeSummary(note: SummaryNote): SummaryRow {
  const {cell, model, freeSlots, earliestStartMilliseconds} = note;
  return [
    cell,
    model,
    freeSlots,
    earliestStartMilliseconds,
    note.ageMilliseconds,
  ];
}

/** The summary of a checked row. */
export function decodeSummary(row: z.output<typeof summaryRow>): SummaryNote {
  const [cell, model, freeSlots, earliestStartMilliseconds, age] = row;
  return {
    cell,
    model,
    freeSlots,
    earliestStartMilliseconds,
    ageMilliseconds: age,
  };
}

/** The row of an answer; the asker knows the cell and the reservation's id. */
export function encodeAnswer(answer: ReserveAnswer): AnswerRow {
  const summaries = answer.summaries.map(encodeSummary);
  if (answer.kind === 'refused') {
    const reason = refusalReasons.indexOf(answer.reason);
    return [1, reason, answer.retryAfterMilliseconds, summaries];
  }
  const {stages, prediction, candidates, reason} = answer.reservation;
  return [
    0,
    encodeStages(stages),
    encodePrediction(prediction),
    candidates ?? null,
    reason ?? null,
    summaries,
  ];
}

/** The answer to a call, of a checked row. */
export function decodeAnswer(
  {cell, reservationId}: ReserveCall,
  row: z.output<typeof answerRow>,
): ReserveAnswer {
  if (row[0] === 1) {
    const [, reason, retryAfterMilliseconds, notes] = row;
    return {
      kind: 'refused',
      reason: refusalReasons[reason]!,
      retryAfterMilliseconds,
      summaries: notes.map(decodeSummary),
    };
  }
  const [, stages, prediction, candidates, reason, notes] = row;
  return {
    kind: 'reserved',
    reservation: {
      reservationId,
      cell,
      stages: decodeStages(stages),
      prediction: decodePrediction(prediction),
      candidates: candidates ?? undefined,
      reason: reason ?? undefined,
    },
    summaries: notes.map(decodeSummary),
  };
}

/** What is seldom there comes last, so that it can be left out. */
function encodeWork(work: WorkEstimate): z.input<typeof workRow> {
  return [
    work.requestId,
    work.classOfWork,
    work.clientAccount,
    work.promptTokens,
    work.outputTokens,
    work.firstTokenWithin,
    work.betweenTokensTarget,
    work.deadlineWithin,
    work.priority,
    ...withoutTail([
      work.prefixKey ?? null,
      work.prefixTokens ?? null,
      work.adapter ?? null,
      work.version ?? null,
      work.inProgress ?? null,
    ] as const),
  ];
}

function decodeWork(row: z.output<typeof workRow>): WorkEstimate {
  const [requestId, classOfWork, clientAccount, promptTokens, ...others] = row;
  const [outputTokens, firstTokenWithin, betweenTokensTarget, ...rest] = others;
  const [deadlineWithin, priority, prefixKey, prefixTokens, ...seldom] = rest;
  const [adapter, version, inProgress] = seldom;
  return {
    requestId,
    classOfWork,
    clientAccount,
    adapter: adapter ?? undefined,
    promptTokens,
    outputTokens,
    prefixKey: prefixKey ?? undefined,
    prefixTokens: prefixTokens ?? undefined,
    version: version ?? undefined,
    firstTokenWithin,
    betweenTokensTarget,
    deadlineWithin,
    priority,
    inProgress: inProgress ?? undefined,
  };
}

type SeldomRow = readonly [
  (string | null)?,
  (number | null)?,
  (string | null)?,
  (string | null)?,
  (boolean | null)?,
];

function withoutTail(row: SeldomRow): SeldomRow {
  const last = row.findLastIndex(value => value !== null);
  return row.slice(0, last + 1) as unknown as SeldomRow;
}

function encodeObservation(
  observation: StageObservation,
): ReleaseRow[2][number] {
  return [
    observation.upstream,
    outcomes.indexOf(observation.outcome),
    observation.steps,
    observation.decodeMilliseconds ?? null,
    observation.linkMilliseconds ?? null,
  ];
}

function decodeObservation(
  row: z.output<typeof releaseRow>[2][number],
): StageObservation {
  const [upstream, outcome, steps, decodeMilliseconds, linkMilliseconds] = row;
  return {
    upstream,
    outcome: outcomes[outcome]!,
    decodeMilliseconds: decodeMilliseconds ?? undefined,
    linkMilliseconds: linkMilliseconds ?? undefined,
    steps,
  };
}

/** A stage of the version of the one before it doesn't repeat it. */
function encodeStages(stages: readonly ChosenStage[]): StageRow[] {
  return stages.map((stage, index) => {
    const {upstream, address, layers, version} = stage;
    const isRepeated = index > 0 && version === stages[index - 1]!.version;
    return [
      upstream,
      address,
      layers.from,
      layers.to,
      stage.checksFencing === undefined ? null : Number(stage.checksFencing),
      isRepeated ? 0 : (version ?? null),
    ];
  });
}

function decodeStages(rows: readonly StageRow[]): ChosenStage[] {
  let known: string | undefined;
  return rows.map(row => {
    const [upstream, address, from, to, checksFencing, version] = row;
    known = version === 0 ? known : (version ?? undefined);
    return {
      upstream,
      address,
      layers: {from, to},
      checksFencing: checksFencing === null ? undefined : checksFencing === 1,
      version: known,
    };
  });
}

function encodePrediction(prediction: Prediction): PredictionRow {
  return [
    prediction.startsInMilliseconds,
    prediction.firstTokenMilliseconds,
    prediction.betweenTokensMilliseconds,
    prediction.wholeMilliseconds,
    prediction.figuresAgeMilliseconds,
  ];
}

function decodePrediction(row: PredictionRow): Prediction {
  const [starts, firstToken, betweenTokens, whole, figuresAge] = row;
  return {
    startsInMilliseconds: starts,
    firstTokenMilliseconds: firstToken,
    betweenTokensMilliseconds: betweenTokens,
    wholeMilliseconds: whole,
    // JSON has no infinite numbers.
    figuresAgeMilliseconds: figuresAge ?? Infinity,
  };
}
