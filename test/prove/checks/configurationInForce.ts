import {
  ConfigurationEvidence,
  ConfigurationSample,
  Violation,
} from '../observations.js';

/**
 * Checks that every final sample contains all accepted changes, that the revision of a running control program
 * never decreases, and that a revision has the same content at all instances.
 */
export function checkConfigurationInForce(
  evidence: ConfigurationEvidence,
): readonly Violation[] {
  const details = [
    ...findMissingChanges(evidence),
    ...findDecreasedRevisions(evidence.samples),
    ...findDifferingContents(evidence.samples),
  ];
  return details.map(detail => ({
    invariant: 'configurationInForce',
    subject: detail,
    detail,
  }));
}

function findMissingChanges(
  evidence: ConfigurationEvidence,
): readonly string[] {
  const {accepted, finalSamples} = evidence;
  return finalSamples.flatMap(({instance, revision, names}) =>
    accepted
      .filter(change => !names.has(change.name) || revision < change.revision)
      .map(
        change =>
          `${instance} at revision ${revision} lacks ${change.name}, accepted in revision ${change.revision}`,
      ),
  );
}

function findDecreasedRevisions(
  samples: readonly ConfigurationSample[],
): readonly string[] {
  const highest = new Map<string, number>();
  const details: string[] = [];
  for (const {instance, pid, revision} of samples) {
    const process = `${instance} (process ${pid})`;
    const highestSoFar = highest.get(process) ?? 0;
    if (revision < highestSoFar) {
      details.push(
        `${process} went from revision ${highestSoFar} to ${revision}`,
      );
    }
    highest.set(process, Math.max(highestSoFar, revision));
  }
  return details;
}

function findDifferingContents(
  samples: readonly ConfigurationSample[],
): readonly string[] {
  const byRevision = new Map<number, ConfigurationSample>();
  const details: string[] = [];
  for (const sample of samples) {
    const first = byRevision.get(sample.revision) ?? sample;
    byRevision.set(sample.revision, first);
    if (first.digest !== sample.digest) {
      details.push(
        `revision ${sample.revision} differs between ${first.instance} and ${sample.instance}`,
      );
    }
  }
  return details;
}
