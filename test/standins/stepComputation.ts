import {
  StepOutput,
  StepRequest,
} from '../../src/infrastructure/engine/common/engineConnection.js';
import {EngineSettings} from './engineSettings.js';
import {
  applyLayer,
  decodeActivation,
  hashToken,
  encodeActivation,
  isReplyToken,
  planReply,
  remainingTokens,
  tokenFromHash,
} from './referenceModel.js';
import {Sequence} from './sequences.js';

/** The computation of a step, without scheduling and timing. */

const BUSINESS_KEY_PREFIX = '[key:';

/** Computes the output of a step; updates the KV caches of its sequence. */
export function computeStep(step: StepRequest, sequence: Sequence): StepOutput {
  const {layers, positions} = step;
  let hashes: readonly number[] = inputHashes(step) ?? [];
  for (let layer = layers.from; layer < layers.to; layer++) {
    const cache = sequence.getOrCreateCache(layer);
    hashes = applyLayer(layer, cache, positions.from, hashes);
  }
  const remaining = remainingAfter(step, sequence);
  if (layers.to < step.layerCount) {
    const data = encodeActivation({remaining, hashes});
    return {kind: 'activation', data};
  }
  const token = tokenFromHash(hashes.at(-1) ?? 0);
  return {kind: 'token', token, endOfText: remaining <= 1};
}

function remainingAfter(step: StepRequest, sequence: Sequence): number {
  const {input, positions} = step;
  if (input.kind === 'activation') {
    const count = positions.to - positions.from;
    return decodeActivation(input.data, count)?.remaining ?? 0;
  }
  const {tokens, plan} = sequence;
  tokens.splice(positions.from, tokens.length, ...input.tokens);
  const isPlanValid =
    plan !== undefined &&
    positions.from >= plan.promptLength &&
    input.tokens.every(isReplyToken);
  sequence.plan = isPlanValid ? plan : planReply(tokens);
  return remainingTokens(sequence.plan, positions.to);
}

/** The hashes that enter the first layer of a step; undefined when the input does not match its layers or positions. */
export function inputHashes(step: StepRequest): readonly number[] | undefined {
  const {input, positions} = step;
  const count = positions.to - positions.from;
  const isFirst = step.layers.from === 0;
  if (count < 1 || isFirst !== (input.kind === 'tokens')) {
    return undefined;
  }
  if (input.kind === 'activation') {
    return decodeActivation(input.data, count)?.hashes;
  }
  return input.tokens.length === count
    ? input.tokens.map(hashToken)
    : undefined;
}

/** Whether a step is prefill rather than decode. */
export function isPrefill(step: StepRequest): boolean {
  const {from, to} = step.positions;
  return from === 0 || to - from > 1;
}

/** Whether an engine of a role runs a step; engines of all roles run rebuild steps. */
export function roleAccepts(
  role: EngineSettings['role'],
  step: StepRequest,
): boolean {
  if (role === 'both' || step.rebuild) {
    return true;
  }
  return (role === 'prefill') === isPrefill(step);
}

/** The fields of a step that are recorded in the ledger. */
export function ledgerFields(step: StepRequest) {
  const {requestId, epoch, layers, positions, rebuild, version} = step;
  const key = businessKey(step);
  return {requestId, epoch, layers, positions, rebuild, version, key};
}

function businessKey(step: StepRequest): string | undefined {
  if (step.input.kind !== 'tokens') {
    return undefined;
  }
  const word = step.input.tokens.find(token =>
    token.startsWith(BUSINESS_KEY_PREFIX),
  );
  return word?.slice(BUSINESS_KEY_PREFIX.length, -1);
}
