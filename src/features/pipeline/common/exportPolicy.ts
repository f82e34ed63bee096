import {
  CacheReference,
  LayerRange,
} from '../../../infrastructure/engine/common/engineConnection.js';
import {ExportSettings} from './pipelineSettings.js';

/** How far a reply is. */
export interface ReplyProgress {
  readonly contextTokens: number;
  readonly releasedTokens: number;
  readonly expectedTokens: number;
  readonly maximumTokens: number;
}

/** Whether to export KV caches now: due, long enough to be worth it, and enough left to do. */
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

/** Whether an export can restore a stage of these layers. */
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
