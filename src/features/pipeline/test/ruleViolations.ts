import {expect} from 'vitest';

import {expectedReply} from '../../../../test/standins/referenceModel.js';
import {ExecutedStep} from './faultyEngine.js';
import {HarnessRun, layerCount, PipelineHarness} from './pipelineHarness.js';

/** All rule violations visible in the executed steps and the delivered tokens; empty if there are none. */
export function violationsOf(harness: PipelineHarness): readonly string[] {
  const found = harness.runs.flatMap(run =>
    runViolations(
      run,
      harness.executedSteps.filter(
        entry => entry.requestId === run.request.requestId,
      ),
    ),
  );
  const held = [...harness.broker.held].map(
    id => `reservation ${id} was not released`,
  );
  const resident = harness.engines.flatMap(({upstream, resident}) =>
    resident.map(requestId => `${upstream} still holds ${requestId}`),
  );
  return [...found, ...held, ...resident];
}

function runViolations(
  run: HarnessRun,
  entries: readonly ExecutedStep[],
): readonly string[] {
  return [
    ...tokenViolations(run),
    ...lineageViolations(run, entries),
    ...duplicateViolations(entries),
    ...epochOrderViolations(entries),
    ...executedViolations(run, entries),
  ];
}

function tokenViolations(run: HarnessRun): readonly string[] {
  const {promptTokens, maximumOutputTokens} = run.request;
  const expected = expectedReply(promptTokens, layerCount, maximumOutputTokens);
  const found: string[] = [];
  run.delivered.forEach((token, index) => {
    if (token !== expected.tokens[index] || run.indices[index] !== index) {
      found.push(`token ${index} is wrong or out of order: ${token}`);
    }
  });
  if (run.result?.ok) {
    const {tokens, finishReason} = run.result.value;
    const isComplete =
      tokens.join(' ') === expected.tokens.join(' ') &&
      run.delivered.length === expected.tokens.length &&
      finishReason === expected.finishReason;
    if (!isComplete) {
      found.push('the reply is incomplete or has a wrong finish reason');
    }
  }
  return found;
}

/** Each released token requires an epoch in which all layers ran once, in order. */
function lineageViolations(
  run: HarnessRun,
  entries: readonly ExecutedStep[],
): readonly string[] {
  const found: string[] = [];
  run.delivered.forEach((_, index) => {
    const position = run.request.promptTokens.length + index;
    const passes = entries.filter(entry => entry.positions.to === position);
    const epochs = new Set(passes.map(entry => entry.epoch));
    const hasCompletePass = [...epochs].some(epoch =>
      coversOnceInOrder(passes.filter(entry => entry.epoch === epoch)),
    );
    if (!hasCompletePass) {
      found.push(`token ${index} has no complete lineage`);
    }
  });
  return found;
}

function coversOnceInOrder(entries: readonly ExecutedStep[]): boolean {
  let coveredTo = 0;
  for (const {layers} of entries) {
    if (layers.from !== coveredTo) {
      return false;
    }
    coveredTo = layers.to;
  }
  return coveredTo === layerCount;
}

/** Within an epoch, no layer may run twice for the same token. */
function duplicateViolations(
  entries: readonly ExecutedStep[],
): readonly string[] {
  const seen = new Set<string>();
  const found: string[] = [];
  for (const {epoch, positions, layers, upstream} of entries) {
    const key = `epoch ${epoch}, to ${positions.to}, layers ${layers.from}`;
    if (seen.has(key)) {
      found.push(`${key} ran again at ${upstream}`);
    }
    seen.add(key);
  }
  return found;
}

/** No engine may run a step of an older epoch after a step of a newer one. */
function epochOrderViolations(
  entries: readonly ExecutedStep[],
): readonly string[] {
  const highest = new Map<string, number>();
  const found: string[] = [];
  for (const {upstream, epoch} of entries) {
    const former = highest.get(upstream) ?? 0;
    if (epoch < former) {
      found.push(`${upstream} ran epoch ${epoch} after ${former}`);
    }
    highest.set(upstream, Math.max(former, epoch));
  }
  return found;
}

/** `executed: no` requires that no step ever ran; `executed: yes` requires delivered tokens and no step after the end. */
function executedViolations(
  run: HarnessRun,
  entries: readonly ExecutedStep[],
): readonly string[] {
  if (run.result === undefined) {
    return ['the run did not end'];
  }
  if (run.result.ok) {
    return [];
  }
  const {executed} = run.result.error;
  const later = entries.filter(entry => entry.at > run.endedAt);
  const isWrong =
    (executed === 'no' && entries.length > 0) ||
    (executed === 'yes' && (later.length > 0 || run.delivered.length === 0));
  return isWrong ? [`executed: ${executed} is wrong`] : [];
}

/** Waits until all runs of a harness have ended and expects no rule violations. */
export async function finishWithoutViolations(
  harness: PipelineHarness,
): Promise<void> {
  await harness.finish();
  expect(violationsOf(harness)).toEqual([]);
}
