package replica

import "mothcleat/internal/storage/store"

// Adopt marks a copied storage as created in its present directory, so that it can be opened.
func Adopt(dir string) error {
	place, err := placeOf(dir)
	if err != nil {
		return err
	}
	s, err := store.Open(dir, store.Options{})
	if err != nil {
		return err
	}
	var batch store.Batch
	batch.Put(keyPlace, place)
	if err := s.Commit(&batch, store.Buffered); err != nil {
		return err
	}
	return s.Close()
}
