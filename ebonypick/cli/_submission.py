"""Performs the platform operations of a submission."""

import uuid

from ebonypick import errors
from ebonypick import version


async def _perform(platform, operation):
    if isinstance(operation, version.PutObject):
        await platform.put_object(operation.key, operation.data)
        return None
    if isinstance(operation, version.Commit):
        return await platform.commit(operation)
    return await platform.read_version_row(operation.number)


async def submit(platform, bundle, base_number, by, note=''):
    """Submit a bundle as the successor of a version.

    Parameters
    ==========
    platform : object
        A client of the platform.
    bundle : Bundle
        The validated files.
    base_number : int
        Number of the version that the files are based on; 0 for the first.
    by, note : str
        The author of the submission and the reason for it.

    Returns
    =======
    int
        Number of the accepted version.

    Raises
    ======
    errors.ConflictError
        If another submission was accepted as that version.
    errors.SubmitUnknownError
        If the platform did not confirm the outcome.
    """
    submission = f'{base_number + 1}-{uuid.uuid4().hex[:12]}'
    state = version.make_submission(bundle, base_number, submission, by, note)
    while isinstance(state, version.Submission):
        try:
            found = await _perform(platform, state.operation())
        except errors.PlatformError as exc:
            state = state.fail(str(exc))
        else:
            state = state.succeed(found)
    if isinstance(state, version.Accepted):
        return state.number
    if isinstance(state, version.Undecided):
        raise errors.SubmitUnknownError(submission=state.submission)
    raise errors.ConflictError(
        version=state.row.number,
        by=state.row.by,
        differs=await _differing(platform, state.row, base_number),
    )


async def _differing(platform, row, base_number):
    """Return the paths that another submission changed, as text."""
    try:
        bundle = await read_bundle(platform, row)
        base_row = await platform.read_version_row(base_number)
        base = version.EMPTY_BUNDLE
        if base_row is not None:
            base = await read_bundle(platform, base_row)
    except errors.PlatformError:
        return 'files that cannot be read at present'
    names = version.changed_paths(base, bundle)
    return ', '.join(names) or 'nothing'


async def read_bundle(platform, row):
    """Return the bundle that the row of a version refers to.

    Raises
    ======
    errors.PlatformError
        If the object store does not answer or lacks the bundle.
    """
    data = await platform.get_object(f'config/{row.digest}')
    if data is None:
        raise errors.PlatformError(
            address='object store', reason='the object is missing'
        )
    return version.decode_bundle(data)


async def settle(platform, submission):
    """Return the version that a submission was accepted as, or None.

    Raises
    ======
    errors.PlatformError
        If the platform does not answer.
    """
    number = int(submission.partition('-')[0])
    row = await platform.read_version_row(number)
    if row is not None and row.submission == submission:
        return number
    return None
