import {expect} from 'vitest';

import {expectedReply} from '../../../../test/standins/referenceModel.js';
import {LedgerEntry} from './faultyEngine.js';
import {BenchRun, layerCount, PipelineBench} from './pipelineBench.js';

/** All violations that the engines' ledger and the caller's tokens show; empty when all is right. */
export function violationsOf(bench: PipelineBench): readonly string[] {
  const found = bench.runs.flatMap(run =>
    runViolations(
      run,
      bench.ledger.filter(entry => entry.requestId === run.request.requestId),
    ),
  );
  const held = [...bench.broker.held].map(id => `reservation ${id} is held`);
  const resident = bench.engines.flatMap(({upstream, resident}) =>
    resident.map(requestId => `${upstream} still holds ${requestId}`),
  );
  return [...found, ...held, ...resident];
}

function runViolations(
  run: BenchRun,
  entries: readonly LedgerEntry[],
): readonly string[] {
  return [
    ...tokenViolations(run),
    ...lineageViolations(run, entries),
    ...repeatViolations(entries),
    ...orderViolations(entries),
    ...statementViolations(run, entries),
  ];
}

function tokenViolations(run: BenchRun): readonly string[] {
  const {promptTokens, maximumOutputTokens} = run.request;
  const expected = expectedReply(promptTokens, layerCount, maximumOutputTokens);
  const found: string[] = [];
  run.delivered.forEach((token, index) => {
    if (token !== expected.tokens[index] || run.indices[index] !== index) {
      found.push(`token ${index} is ${token}`);
    }
  });
  if (run.result?.ok) {
    const {tokens, finishReason} = run.result.value;
    const whole =
      tokens.join(' ') === expected.tokens.join(' ') &&
      run.delivered.length === expected.tokens.length &&
      finishReason === expected.finishReason;
    if (!whole) {
      found.push('the reply is not whole');
    }
  }
  return found;
}

/** Every released token needs one epoch in which all layers ran once, in order. */
function lineageViolations(
  run: BenchRun,
  entries: readonly LedgerEntry[],
): readonly string[] {
  const found: string[] = [];
  run.delivered.forEach((_, index) => {
    const position = run.request.promptTokens.length + index;
    const passes = entries.filter(entry => entry.positions.to === position);
    const epochs = new Set(passes.map(entry => entry.epoch));
    const isWhole = [...epochs].some(epoch =>
      coversOnceInOrder(passes.filter(entry => entry.epoch === epoch)),
    );
    if (!isWhole) {
      found.push(`token ${index} has no whole lineage`);
    }
  });
  return found;
}

function coversOnceInOrder(entries: readonly LedgerEntry[]): boolean {
  let coveredTo = 0;
  for (const {layers} of entries) {
    if (layers.from !== coveredTo) {
      return false;
    }
    coveredTo = layers.to;
  }
  return coveredTo === layerCount;
}

/** In one epoch no layer runs twice for a token. */
function repeatViolations(entries: readonly LedgerEntry[]): readonly string[] {
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

/** No engine runs an old attempt after it was entered under a newer one. */
function orderViolations(entries: readonly LedgerEntry[]): readonly string[] {
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

function statementViolations(
  run: BenchRun,
  entries: readonly LedgerEntry[],
): readonly string[] {
  if (run.result === undefined) {
    return ['the run did not end'];
  }
  if (run.result.ok) {
    return [];
  }
  const {executed} = run.result.error;
  const later = entries.filter(entry => entry.at > run.endedAt);
  const isFalse =
    (executed === 'no' && entries.length > 0) ||
    (executed === 'yes' && (later.length > 0 || run.delivered.length === 0));
  return isFalse ? [`executed: ${executed} is not true`] : [];
}

/** Lets all runs of a bench end and expects that none broke a rule. */
export async function finishCleanly(bench: PipelineBench): Promise<void> {
  await bench.finish();
  expect(violationsOf(bench)).toEqual([]);
}
