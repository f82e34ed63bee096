import {z} from 'zod';

import {
  releaseRowSchema,
  responseRowSchema,
  stageOutcomes,
} from './cellSchemas.js';
import {FrontCoder} from './frontCoder.js';
import {ChosenStage, Prediction, StageObservation} from './routing.js';

/** Converts stages, what is predicted of them and what was observed at them to positional rows and back. */

/** Bit flags of a chosen stage. `checksFencing` has a meaning only if `fencingKnown` is set. */
enum StageFlag {
  checksFencing = 1,
  fencingKnown = 2,
  probing = 4,
}

type ReservedRow = Extract<
  z.input<typeof responseRowSchema>,
  readonly [0, ...unknown[]]
>;
type StageRow = ReservedRow[1][number];
type PredictionRow = ReservedRow[2];
type ObservationRow = z.input<typeof releaseRowSchema>[2][number];

/** Encodes what was observed at a stage; upstream names of one message are front-coded together. */
export function encodeObservation(
  observation: StageObservation,
  upstreams: FrontCoder,
): ObservationRow {
  return [
    upstreams.encode(observation.upstream),
    stageOutcomes.indexOf(observation.outcome),
    observation.steps,
    observation.decodeMilliseconds ?? null,
    observation.linkMilliseconds ?? null,
  ];
}

/** Decodes a row that its schema has accepted, as do the functions below. */
export function decodeObservation(
  row: z.output<typeof releaseRowSchema>[2][number],
  upstreams: FrontCoder,
): StageObservation {
  const [upstream, outcome, steps, decodeMilliseconds, linkMilliseconds] = row;
  return {
    upstream: upstreams.decode(upstream),
    outcome: stageOutcomes[outcome]!,
    decodeMilliseconds: decodeMilliseconds ?? undefined,
    linkMilliseconds: linkMilliseconds ?? undefined,
    steps,
  };
}

/** Encodes the stages of a reservation. */
export function encodeStages(stages: readonly ChosenStage[]): StageRow[] {
  const upstreams = new FrontCoder();
  const addresses = new FrontCoder();
  const versions = new FrontCoder();
  return stages.map(stage => [
    upstreams.encode(stage.upstream),
    addresses.encode(stage.address),
    stage.layers.from,
    stage.layers.to,
    encodeFlags(stage),
    stage.version === undefined ? null : versions.encode(stage.version),
  ]);
}

/** Decodes the stages of a reservation. */
export function decodeStages(rows: readonly StageRow[]): ChosenStage[] {
  const upstreams = new FrontCoder();
  const addresses = new FrontCoder();
  const versions = new FrontCoder();
  return rows.map(([upstream, address, from, to, flags, version]) => ({
    upstream: upstreams.decode(upstream),
    address: addresses.decode(address),
    layers: {from, to},
    ...decodeFlags(flags),
    version: version === null ? undefined : versions.decode(version),
  }));
}

function encodeFlags({checksFencing, probing}: ChosenStage): number {
  const fencing =
    checksFencing === undefined
      ? 0
      : StageFlag.fencingKnown + (checksFencing ? StageFlag.checksFencing : 0);
  return fencing + (probing === true ? StageFlag.probing : 0);
}

function decodeFlags(
  flags: number,
): Pick<ChosenStage, 'checksFencing' | 'probing'> {
  const isKnown = (flags & StageFlag.fencingKnown) !== 0;
  const checks = (flags & StageFlag.checksFencing) !== 0;
  const probing = (flags & StageFlag.probing) !== 0 ? true : undefined;
  return {checksFencing: isKnown ? checks : undefined, probing};
}

/** Encodes what is predicted for a reservation. */
export function encodePrediction(prediction: Prediction): PredictionRow {
  return [
    prediction.startsInMilliseconds,
    prediction.firstTokenMilliseconds,
    prediction.betweenTokensMilliseconds,
    prediction.wholeMilliseconds,
    prediction.figuresAgeMilliseconds,
  ];
}

/** Decodes what is predicted for a reservation. */
export function decodePrediction(row: PredictionRow): Prediction {
  const [starts, firstToken, betweenTokens, whole, figuresAge] = row;
  return {
    startsInMilliseconds: starts,
    firstTokenMilliseconds: firstToken,
    betweenTokensMilliseconds: betweenTokens,
    wholeMilliseconds: whole,
    // JSON has no infinite numbers: Infinity is sent as null.
    figuresAgeMilliseconds: figuresAge ?? Infinity,
  };
}
