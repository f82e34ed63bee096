import {
  CacheReference,
  LayerRange,
} from '../../../infrastructure/engine/common/engineConnection.js';
import {ExportSettings} from './pipelineSettings.js';

/** How much of a reply has been generated. */
export interface ReplyProgress {
  readonly contextTokens: number;
  readonly releasedTokens: number;
  readonly expectedTokens: number;
  readonly maximumTokens: number;
}

/**
 * Whether to export KV caches now: the interval has passed, the context is long enough to be worth an export, and
 * enough tokens remain.
 */
export function isExportDue(
  progress: ReplyProgress,
  settings: ExportSettings,
): boolean {
  if (progress.releasedTokens % settings.everyTokens !== 0) {
    return false;
  }
  const remaining =
    Math.min(progress.expectedTokens, progress.maximumTokens) -
    progress.releasedTokens;
  return (
    progress.contextTokens >= settings.minimumContextTokens &&
    remaining >= settings.minimumRemainingTokens
  );
}

/** Whether an export can restore a stage that runs these layers. */
export function isExportUsable(
  reference: CacheReference,
  layers: LayerRange,
): boolean {
  return (
    reference.layers.from === layers.from &&
    reference.layers.to === layers.to &&
    reference.positions.from === 0 &&
    reference.positions.to > 0
  );
}
