import {emptyConfiguration} from '../../configuration/common/configuration.js';
import {Standing, SystemView} from './systemView.js';
import {ViewUpdate} from './viewPublisher.js';

/** How long the standing `serving` is kept while the control program is unreachable or restarting. */
export const STANDING_HOLD_MILLISECONDS = 10_000;

/** Merges partial updates into complete views. */
export class ViewMerger {
  private view: SystemView | undefined;
  private lastServingAt: number | undefined;

  get current(): SystemView | undefined {
    return this.view;
  }

  /** Applies an update; returns the new view. The configuration revision never decreases. */
  applyUpdate(update: ViewUpdate, now: number): SystemView {
    if (update.standing.kind === 'serving') {
      this.lastServingAt = now;
    }
    const previous = this.view;
    const known = previous?.configuration ?? emptyConfiguration;
    const offered = update.configuration ?? known;
    const isNewer = offered.revision >= known.revision;
    const view: SystemView = {
      sequence: (previous?.sequence ?? 0) + 1,
      standing: this.effectiveStanding(update.standing, now),
      configuration: isNewer ? offered : known,
      instances: update.instances ?? previous?.instances ?? [],
      upstreams: update.upstreams ?? previous?.upstreams ?? [],
    };
    this.view = this.retainListsOnRestart(view, update);
    return this.view;
  }

  /** Handles a missing response of the control program; returns a new view if that changes the standing. */
  lost(now: number): SystemView | undefined {
    const view = this.view;
    if (view?.standing.kind !== 'serving' || this.isWithinHoldPeriod(now)) {
      return undefined;
    }
    const sinceMilliseconds = now - (this.lastServingAt ?? now);
    const standing: Standing = {kind: 'cutOff', sinceMilliseconds};
    this.view = {...view, sequence: view.sequence + 1, standing};
    return this.view;
  }

  private effectiveStanding(standing: Standing, now: number): Standing {
    const isRestarting =
      standing.kind === 'starting' && this.view !== undefined;
    return isRestarting && this.isWithinHoldPeriod(now)
      ? {kind: 'serving'}
      : standing;
  }

  /** Keeps the known lists while a restarted control program reports empty ones. */
  private retainListsOnRestart(
    view: SystemView,
    update: ViewUpdate,
  ): SystemView {
    const previous = this.view;
    if (update.standing.kind !== 'starting' || previous === undefined) {
      return view;
    }
    const {instances, upstreams} = view;
    return {
      ...view,
      instances: instances.length > 0 ? instances : previous.instances,
      upstreams: upstreams.length > 0 ? upstreams : previous.upstreams,
    };
  }

  private isWithinHoldPeriod(now: number): boolean {
    return (
      this.lastServingAt !== undefined &&
      now - this.lastServingAt <= STANDING_HOLD_MILLISECONDS
    );
  }
}
