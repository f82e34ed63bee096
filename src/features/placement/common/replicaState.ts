import {EngineReport} from '../../../infrastructure/engine/common/engineConnection.js';
import {Model} from '../../configuration/common/configuration.js';
import {partitionsLayers, hasLayerChain} from './layerSplit.js';
import {EngineView, ReplicaView} from './placementView.js';

/** The state of a replica as its engines' reports show it. */

/**
 * `live` serves; `draining` holds a whole model and takes no new work; `loading` waits for orders to take effect;
 * `incomplete` holds no whole model; `unknown` has a reachable engine that hasn't reported yet.
 */
export type ReplicaKind =
  'live' | 'draining' | 'loading' | 'incomplete' | 'unknown';

/** A replica with the figures that decisions need. */
export interface ReplicaState {
  readonly view: ReplicaView;
  readonly kind: ReplicaKind;
  /** Model and version of all engines, if they agree. */
  readonly model: string | undefined;
  readonly version: string | undefined;
  /** Adapters that all engines hold. */
  readonly adapters: readonly string[];
  /** Engines that can take orders, sorted by first layer. */
  readonly engines: readonly EngineView[];
  /** Sequences that may be resident at once. */
  readonly sequences: number;
  /** Sequences resident or queued. */
  readonly occupied: number;
  /** Time of one token through all stages, without network time. */
  readonly tokenMilliseconds: number;
  /** Whether all engines have the same kind of accelerator. */
  readonly isUniform: boolean;
  /** Whether each layer is held by one engine only. */
  readonly isEven: boolean;
}

/** Derives a replica's state from the reports of its engines. */
export function stateOf(
  view: ReplicaView,
  models: Readonly<Record<string, Model>>,
): ReplicaState {
  const engines = usableEngines(view);
  const reports = engines.flatMap(({report}) => (report ? [report] : []));
  const model = commonValue(reports.map(report => report.model));
  const version = commonValue(reports.map(report => report.version));
  const kinds = new Set(reports.map(report => report.acceleratorKind));
  return {
    view,
    kind: kindOf(view, engines, reports, models[model ?? ''], version),
    model,
    version,
    adapters: commonAdapters(reports),
    engines,
    sequences: Math.min(...reports.map(report => report.sequenceLimit)),
    occupied: Math.max(0, ...reports.map(sequencesOf)),
    tokenMilliseconds: sum(reports.map(report => report.decodeMilliseconds)),
    isUniform: kinds.size <= 1,
    isEven: partitionsLayers(
      reports.map(report => report.layers),
      reports.at(-1)?.layers.to ?? 0,
    ),
  };
}

function kindOf(
  view: ReplicaView,
  engines: readonly EngineView[],
  reports: readonly EngineReport[],
  model: Model | undefined,
  version: string | undefined,
): ReplicaKind {
  const hasMissingReport = view.engines.some(
    ({report, reachable}) => report === undefined && reachable,
  );
  if (hasMissingReport) {
    return 'unknown';
  }
  if (engines.some(({pending, report}) => pending || report?.loading)) {
    return 'loading';
  }
  const ranges = reports.map(report => report.layers);
  const layerCount = model?.layerCount ?? ranges.at(-1)?.to ?? 0;
  if (version === undefined || !hasLayerChain(ranges, layerCount)) {
    return 'incomplete';
  }
  return reports.every(report => report.role === 'both') ? 'live' : 'draining';
}

function usableEngines(view: ReplicaView): readonly EngineView[] {
  return view.engines
    .filter(
      ({member, report, reachable}) =>
        reachable && member.state === 'live' && report?.leaving === false,
    )
    .sort(byFirstLayer);
}

function byFirstLayer(left: EngineView, right: EngineView): number {
  const difference = firstLayer(left) - firstLayer(right);
  return difference || (left.member.id < right.member.id ? -1 : 1);
}

function firstLayer({report}: EngineView): number {
  return report?.layers.from ?? 0;
}

function commonValue(values: readonly string[]): string | undefined {
  return new Set(values).size === 1 ? values[0] : undefined;
}

function commonAdapters(reports: readonly EngineReport[]): readonly string[] {
  const [first, ...others] = reports;
  return (first?.adapters ?? []).filter(adapter =>
    others.every(report => report.adapters.includes(adapter)),
  );
}

function sequencesOf(report: EngineReport): number {
  return report.residentSequences + report.queuedSequences;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
