import {
  ConfigurationEvidence,
  ConfigurationSample,
  Violation,
} from '../observations.js';

/**
 * Accepted changes are at every settled instance; an instance's revision never goes down while its program
 * runs; one revision has one content everywhere.
 */
export function checkConfigurationInForce(
  evidence: ConfigurationEvidence,
): readonly Violation[] {
  const details = [
    ...missing(evidence),
    ...reverted(evidence.samples),
    ...differing(evidence.samples),
  ];
  return details.map(detail => ({
    point: 'configurationInForce',
    subject: detail,
    detail,
  }));
}

function missing(evidence: ConfigurationEvidence): readonly string[] {
  const {accepted, settled} = evidence;
  return settled.flatMap(({instance, revision, names}) =>
    accepted
      .filter(change => !names.has(change.name) || revision < change.revision)
      .map(
        change =>
          `${instance} at revision ${revision} lacks ${change.name}, accepted as ${change.revision}`,
      ),
  );
}

function reverted(samples: readonly ConfigurationSample[]): readonly string[] {
  const highest = new Map<string, number>();
  const found: string[] = [];
  for (const {instance, pid, revision} of samples) {
    const process = `${instance} (process ${pid})`;
    const former = highest.get(process) ?? 0;
    if (revision < former) {
      found.push(`${process} went from revision ${former} to ${revision}`);
    }
    highest.set(process, Math.max(former, revision));
  }
  return found;
}

function differing(samples: readonly ConfigurationSample[]): readonly string[] {
  const byRevision = new Map<number, ConfigurationSample>();
  const found: string[] = [];
  for (const sample of samples) {
    const first = byRevision.get(sample.revision) ?? sample;
    byRevision.set(sample.revision, first);
    if (first.digest !== sample.digest) {
      found.push(
        `revision ${sample.revision} differs between ${first.instance} and ${sample.instance}`,
      );
    }
  }
  return found;
}
