import {emptyConfiguration} from '../../configuration/common/configuration.js';
import {Standing, SystemView} from './systemView.js';
import {ViewUpdate} from './viewPublisher.js';

/** How long the last standing is kept while the control program is gone or starting again. */
export const HOLD_MILLISECONDS = 10_000;

/** Puts updates together into views; pure but for the view it holds. */
export class ViewMerger {
  private view: SystemView | undefined;
  private servedAt: number | undefined;

  get current(): SystemView | undefined {
    return this.view;
  }

  /** Takes an update; returns the new view. A configuration never goes back. */
  take(update: ViewUpdate, now: number): SystemView {
    if (update.standing.kind === 'serving') {
      this.servedAt = now;
    }
    const held = this.view;
    const known = held?.configuration ?? emptyConfiguration;
    const offered = update.configuration ?? known;
    const isNewer = offered.revision >= known.revision;
    const view: SystemView = {
      sequence: (held?.sequence ?? 0) + 1,
      standing: this.standingAfter(update.standing, now),
      configuration: isNewer ? offered : known,
      instances: update.instances ?? held?.instances ?? [],
      upstreams: update.upstreams ?? held?.upstreams ?? [],
    };
    this.view = this.keepLists(view, update);
    return this.view;
  }

  /** The control program did not answer; returns a new view when that changes the standing. */
  lost(now: number): SystemView | undefined {
    const view = this.view;
    if (view?.standing.kind !== 'serving' || this.isHeld(now)) {
      return undefined;
    }
    const sinceMilliseconds = now - (this.servedAt ?? now);
    const standing: Standing = {kind: 'cutOff', sinceMilliseconds};
    this.view = {...view, sequence: view.sequence + 1, standing};
    return this.view;
  }

  private standingAfter(standing: Standing, now: number): Standing {
    const restarts = standing.kind === 'starting' && this.view !== undefined;
    return restarts && this.isHeld(now) ? {kind: 'serving'} : standing;
  }

  /** A control program that starts again has empty lists at first. */
  private keepLists(view: SystemView, update: ViewUpdate): SystemView {
    const held = this.view;
    if (update.standing.kind !== 'starting' || held === undefined) {
      return view;
    }
    const {instances, upstreams} = view;
    return {
      ...view,
      instances: instances.length > 0 ? instances : held.instances,
      upstreams: upstreams.length > 0 ? upstreams : held.upstreams,
    };
  }

  private isHeld(now: number): boolean {
    return (
      this.servedAt !== undefined && now - this.servedAt <= HOLD_MILLISECONDS
    );
  }
}
