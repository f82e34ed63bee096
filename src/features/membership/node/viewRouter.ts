import * as zod from 'zod';

import {
  createRpcRouter,
  peerProcedure,
} from '../../../infrastructure/rpc/node/rpc.js';
import {EntryAnnouncement, SystemView} from '../common/systemView.js';
import {ViewHistory} from '../common/viewHistory.js';
import {
  ViewPosition,
  ViewPublisher,
  ViewUpdate,
} from '../common/viewPublisher.js';

/** Maximum duration of a watch without a change. */
const MAX_WATCH_MILLISECONDS = 5_000;
const TEXT_LENGTH_LIMIT = 256;

/** The functions of the control program that the router needs. */
export interface ViewProvider {
  readonly publisher: ViewPublisher;
  view(): SystemView;
  announce(announcement: EntryAnnouncement): void;
  recordEntryContact(): void;
}

/** Serves watches. `source` identifies this process, since sequences of different processes are not comparable. */
export class ViewWatcher {
  private readonly history: ViewHistory;

  constructor(
    private readonly provider: ViewProvider,
    source: string,
  ) {
    this.history = new ViewHistory(source, provider.publisher.current);
  }

  /** Resolves when the view differs from what the client has, or after the maximum duration. */
  async watch(
    since: ViewPosition | undefined,
    signal: AbortSignal | undefined,
  ): Promise<ViewUpdate> {
    this.refresh();
    if (this.history.isCurrent(since)) {
      await this.nextChange(signal);
      this.refresh();
    }
    return this.history.updateSince(since);
  }

  private refresh(): void {
    this.provider.recordEntryContact();
    this.history.update(this.provider.view());
  }

  private nextChange(signal: AbortSignal | undefined): Promise<void> {
    return new Promise(resolve => {
      const finish = () => {
        clearTimeout(timer);
        changed.dispose();
        signal?.removeEventListener('abort', finish);
        resolve();
      };
      const timer = setTimeout(finish, MAX_WATCH_MILLISECONDS);
      const changed = this.provider.publisher.onDidChange(finish);
      signal?.addEventListener('abort', finish, {once: true});
    });
  }
}

const positionSchema = zod.object({
  source: zod.string().max(TEXT_LENGTH_LIMIT),
  sequence: zod.int(),
});

const announcementSchema = zod.object({
  incarnation: zod.string().min(1).max(TEXT_LENGTH_LIMIT),
  leaving: zod.boolean(),
});

/** Creates the procedures that the entry program of this instance calls. */
export function createViewRouter(provider: ViewProvider, watcher: ViewWatcher) {
  return createRpcRouter({
    view: createRpcRouter({
      watch: peerProcedure
        .input(zod.object({since: positionSchema.optional()}))
        .query(({input, signal}) => watcher.watch(input.since, signal)),
      announce: peerProcedure
        .input(announcementSchema)
        .mutation(({input}): void => provider.announce(input)),
    }),
  });
}

/** The router type, from which clients derive their calls. */
export type ViewRouter = ReturnType<typeof createViewRouter>;
